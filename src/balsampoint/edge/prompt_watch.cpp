#include "balsampoint/edge/prompt_watch.hpp"

#include "balsampoint/edge/exchange_log.hpp"
#include "balsampoint/quarantine/command/admit.hpp"
#include "balsampoint/quarantine/command/merge_reports.hpp"
#include "balsampoint/quarantine/command/record_outcome.hpp"
#include "balsampoint/quarantine/query/is_quarantined.hpp"
#include "balsampoint/trace/event.hpp"

#include <algorithm>
#include <string_view>
#include <vector>

namespace balsampoint::edge {

namespace {

using Verdicts = std::vector<quarantine::Verdict>;

void
LogVerdict(const quarantine::Verdict& aVerdict, std::string_view aEvent)
{
  trace::Event{ aEvent }
    .With("prompt_parts", PartsText(aVerdict.parts))
    .With("crashes", aVerdict.crashes);
}

bool
Holds(const Verdicts& aVerdicts, const quarantine::Verdict& aVerdict)
{
  return std::ranges::find(aVerdicts,
                           aVerdict.parts,
                           &quarantine::Verdict::parts) != aVerdicts.end();
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
    LogVerdict(verdict, "prompt_quarantined");
    added = true;
  }
  for (const auto& verdict : aBefore) {
    if (!Holds(verdicts, verdict)) {
      LogVerdict(verdict, "prompt_released");
    }
  }
  if (added) {
    // Later, since the evidence may come from a request in the middle of its
    // own handling.
    aTraffic.loop.Post([&aTraffic] { aTraffic.NotifyQuarantine(); });
  }
}

} // namespace

tl::expected<void, Error>
AdmitPrompt(TrafficState& aTraffic, const RequestParameters& aParameters)
{
  const auto wait = quarantine::Admit(
    aTraffic.quarantine, aParameters.sharedParts, TrafficState::Now());
  if (!wait) {
    return {};
  }
  auto error =
    MakeError(ErrorKind::NoServer, "servers crash under a part of the prompt");
  error.retryAfter = *wait;
  return tl::unexpected(std::move(error));
}

void
MergeSuspects(TrafficState& aTraffic,
              std::span<const quarantine::PartReport> aReports,
              std::uint32_t aHosts)
{
  const auto before = aTraffic.quarantine.verdicts;
  aTraffic.quarantine.hosts = aHosts;
  quarantine::MergeReports(aTraffic.quarantine, aReports, TrafficState::Now());
  ApplyVerdicts(aTraffic, before);
}

void
PromptWatch::OnServerBroke(TrafficState& aTraffic,
                           const RequestParameters& aParameters,
                           const fleet::Hop& aServer)
{
  if (aParameters.sharedParts.empty() || mEventBatches > 0) {
    return;
  }
  ++mBroken;
  const auto before = aTraffic.quarantine.verdicts;
  quarantine::RecordCrash(aTraffic.quarantine,
                          aParameters.sharedParts,
                          { aServer.server, aServer.incarnation },
                          TrafficState::Now());
  ApplyVerdicts(aTraffic, before);
}

void
PromptWatch::OnEvents(TrafficState& aTraffic,
                      const RequestParameters& aParameters)
{
  constexpr std::uint32_t kProvingBatch = 2;
  if (++mEventBatches == kProvingBatch) {
    OnComplete(aTraffic, aParameters);
  }
}

void
PromptWatch::OnComplete(TrafficState& aTraffic,
                        const RequestParameters& aParameters)
{
  const auto before = aTraffic.quarantine.verdicts;
  quarantine::RecordAnswer(
    aTraffic.quarantine, aParameters.sharedParts, TrafficState::Now());
  ApplyVerdicts(aTraffic, before);
}

bool
PromptWatch::MayRetry(const TrafficState& aTraffic,
                      const RequestParameters& aParameters) const
{
  constexpr std::uint32_t kMaxBroken = 2;
  return mBroken < kMaxBroken &&
         !quarantine::IsSuspected(aTraffic.quarantine, aParameters.sharedParts);
}

} // namespace balsampoint::edge
