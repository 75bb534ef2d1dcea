#include "balsampoint/edge/crash_watch.hpp"

#include "balsampoint/quarantine/command/admit.hpp"
#include "balsampoint/quarantine/command/merge_reports.hpp"
#include "balsampoint/quarantine/command/record_outcome.hpp"
#include "balsampoint/quarantine/query/is_quarantined.hpp"
#include "balsampoint/trace/event.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace balsampoint::edge {

namespace {

using Verdicts = std::vector<quarantine::Verdict>;

/** @brief Logs a verdict as one on a request or on prompt parts. */
void
LogVerdict(const quarantine::Verdict& aVerdict,
           std::string_view aOfRequest,
           std::string_view aOfPrompt)
{
  std::string ids;
  bool isRequest = false;
  for (const auto& suspect : aVerdict.suspects) {
    ids += ids.empty() ? "" : ",";
    ids += suspect.id;
    isRequest = suspect.kind == quarantine::SuspectKind::Request;
  }
  trace::Event{ isRequest ? aOfRequest : aOfPrompt }
    .With(isRequest ? "fingerprint" : "prompt_parts", ids)
    .With("crashes", aVerdict.crashes);
}

bool
Holds(const Verdicts& aVerdicts, const quarantine::Verdict& aVerdict)
{
  return std::ranges::find(aVerdicts,
                           aVerdict.suspects,
                           &quarantine::Verdict::suspects) != aVerdicts.end();
}

/** @brief Logs verdicts that came or went, and cancels requests that fall under
 * new ones. */
void
ApplyVerdicts(TrafficState& aTraffic, const Verdicts& aBefore)
{
  const auto verdicts = aTraffic.quarantine.verdicts;
  bool added = false;
  for (const auto& verdict : verdicts) {
    if (Holds(aBefore, verdict)) {
      continue;
    }
    LogVerdict(verdict, "request_quarantined", "prompt_quarantined");
    added = true;
  }
  for (const auto& verdict : aBefore) {
    if (!Holds(verdicts, verdict)) {
      LogVerdict(verdict, "request_released", "prompt_released");
    }
  }
  if (added) {
    // Later, since the evidence may come from a request in the middle of its
    // own handling.
    aTraffic.loop.Post([&aTraffic] { aTraffic.NotifyQuarantine(); });
  }
}

} // namespace

void
MergeSuspects(TrafficState& aTraffic,
              std::span<const quarantine::SuspectReport> aReports,
              std::uint32_t aHosts)
{
  const auto before = aTraffic.quarantine.verdicts;
  aTraffic.quarantine.hosts = aHosts;
  quarantine::MergeReports(aTraffic.quarantine, aReports, TrafficState::Now());
  ApplyVerdicts(aTraffic, before);
}

CrashWatch::CrashWatch(const std::string& aFingerprint,
                       std::span<const PromptPartId> aParts)
{
  mIds.reserve(aParts.size() + 1);
  mIds.push_back(quarantine::SuspectId::Request(aFingerprint));
  for (const auto& part : aParts) {
    mIds.push_back(quarantine::SuspectId::Part(part));
  }
}

std::span<const quarantine::SuspectId>
CrashWatch::Request() const
{
  return std::span{ mIds }.first(std::min<std::size_t>(mIds.size(), 1));
}

std::span<const quarantine::SuspectId>
CrashWatch::Parts() const
{
  return std::span{ mIds }.subspan(Request().size());
}

tl::expected<void, Error>
CrashWatch::Admit(TrafficState& aTraffic) const
{
  const auto wait =
    quarantine::Admit(aTraffic.quarantine, mIds, TrafficState::Now());
  if (!wait) {
    return {};
  }
  aTraffic.NotifySuspects();
  auto error = MakeError(ErrorKind::NoServer,
                         "servers crash under the request or its prompt");
  error.retryAfter = *wait;
  return tl::unexpected(std::move(error));
}

void
CrashWatch::OnServerBroke(TrafficState& aTraffic,
                          const fleet::Hop& aServer,
                          ServerBreak aBreak)
{
  const bool begun = mEventBatches > 0;
  const bool crashed = aBreak == ServerBreak::Crash;
  mCrashes += crashed ? 1 : 0;
  mBrokenAtStart += !begun && (crashed || !Parts().empty()) ? 1 : 0;
  mCrashedAtStart = crashed && !begun;
  // A reset says nothing of the request: a faulty server resets any.
  auto accused = std::span<const quarantine::SuspectId>{ mIds };
  if (!crashed) {
    accused = begun ? accused.first(0) : Parts();
  } else if (begun) {
    accused = Request();
  }
  const auto before = aTraffic.quarantine.verdicts;
  quarantine::RecordCrash(aTraffic.quarantine,
                          accused,
                          { aServer.server, aServer.incarnation },
                          TrafficState::Now(),
                          begun ? quarantine::AnswerProgress::Begun
                                : quarantine::AnswerProgress::None);
  ApplyVerdicts(aTraffic, before);
  if (crashed) {
    aTraffic.NotifySuspects();
  }
}

void
CrashWatch::OnEvents(TrafficState& aTraffic)
{
  constexpr std::uint32_t kProvingBatch = 2;
  if (++mEventBatches == kProvingBatch) {
    const auto before = aTraffic.quarantine.verdicts;
    quarantine::RecordAnswer(aTraffic.quarantine, Parts(), TrafficState::Now());
    ApplyVerdicts(aTraffic, before);
  }
}

void
CrashWatch::OnComplete(TrafficState& aTraffic) const
{
  const auto before = aTraffic.quarantine.verdicts;
  quarantine::RecordAnswer(aTraffic.quarantine, mIds, TrafficState::Now());
  ApplyVerdicts(aTraffic, before);
}

bool
CrashWatch::MayRetry(const TrafficState& aTraffic) const
{
  constexpr std::uint32_t kMaxBroken = 2;
  return mBrokenAtStart < kMaxBroken &&
         !quarantine::IsSuspected(aTraffic.quarantine, mIds);
}

bool
CrashWatch::MayResume() const
{
  constexpr std::uint32_t kMaxCrashes = 3;
  return mCrashes < kMaxCrashes;
}

bool
CrashWatch::MustWait(const TrafficState& aTraffic) const
{
  return mCrashedAtStart &&
         !quarantine::IsKnown(aTraffic.quarantine, Request()) &&
         !quarantine::SeveralCrashed(aTraffic.quarantine, TrafficState::Now());
}

bool
CrashWatch::MayRepeat(const TrafficState& aTraffic) const
{
  return quarantine::MayRepeat(aTraffic.quarantine, mIds);
}

bool
CrashWatch::InQuarantine(const TrafficState& aTraffic) const
{
  return quarantine::IsQuarantined(aTraffic.quarantine, mIds);
}

} // namespace balsampoint::edge
