#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/exchange/command/handle.hpp"

#include <array>
#include <criterion/criterion.h>
#include <optional>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

using namespace balsampoint;
using namespace balsampoint::exchange;
using namespace std::chrono_literals;

namespace {

/** @brief Draws what happens to one request. */
class Draw
{
public:
  explicit Draw(std::uint64_t aSeed)
    : mRandom{ aSeed }
  {
  }

  std::uint64_t Below(std::uint64_t aBound) { return mRandom.Next() % aBound; }
  bool Maybe() { return Below(2) == 0; }

private:
  SplitMix64 mRandom;
};

/** @brief Surroundings that answer at random. */
struct RandomSurroundings
{
  Draw& draw;

  bool TakeRetry(forward::RetryPurpose /*aPurpose*/) { return draw.Maybe(); }
  void RecordBreak(const fleet::Hop& /*aServer*/, ServerBreak /*aBreak*/) {}
  [[nodiscard]] bool MayRetry() const { return draw.Maybe(); }
  [[nodiscard]] bool MayResume() const { return draw.Maybe(); }
  [[nodiscard]] bool MustWait() const { return draw.Maybe(); }
  [[nodiscard]] bool MayRepeat() const { return draw.Maybe(); }
  [[nodiscard]] bool InQuarantine() const { return draw.Maybe(); }
  [[nodiscard]] static Duration RepeatDelay() { return 100ms; }
  bool HasRoom(const std::set<ServerId>& /*aFailed*/,
               const std::set<ServerId>& /*aReceivers*/)
  {
    return draw.Maybe();
  }
};

AnswerRead
RandomAnswer(Draw& aDraw)
{
  const std::array<std::uint16_t, 4> statuses{ 100, 200, 404, 503 };
  return { .claims = { .status = statuses[aDraw.Below(statuses.size())],
                       .namedRequests = aDraw.Below(4) == 0 ? 2U : 1U,
                       .namesThisRequest = aDraw.Below(4) > 0,
                       .authenticationCodes = aDraw.Below(4) == 0 ? 0U : 1U },
           .complete = aDraw.Maybe(),
           .success = aDraw.Maybe(),
           .notExecuted = aDraw.Below(4) == 0,
           .direct = aDraw.Maybe() };
}

ServersChosen
RandomServers(Draw& aDraw)
{
  const auto server = std::to_string(aDraw.Below(3));
  return { .hops = { { .server = ServerId{ server },
                       .address = server,
                       .layers = { 0, 1 } } },
           .isolated = aDraw.Below(16) == 0 };
}

Event
RandomEvent(Draw& aDraw)
{
  switch (aDraw.Below(std::variant_size_v<Event>)) {
    case 0:
      return Accepted{ static_cast<routing::RequestKind>(aDraw.Below(4)),
                       Instant{ 20s },
                       2 };
    case 1:
      return Rejected{};
    case 2:
      return RandomServers(aDraw);
    case 3:
      return NoServers{ .mayQueue = aDraw.Maybe() };
    case 4:
      return QueueTurn{};
    case 5:
      return QueueRefused{};
    case 6:
      return Connected{};
    case 7:
      return ConnectionLost{ .direct = aDraw.Maybe(),
                             .detourFailed = aDraw.Maybe(),
                             .linkDown = aDraw.Maybe() };
    case 8:
      return BreakProbed{ aDraw.Maybe(), aDraw.Maybe(), aDraw.Maybe() };
    case 9:
      return LinkChecked{ aDraw.Maybe(), aDraw.Maybe() };
    case 10:
      return LinkChanged{ aDraw.Maybe(), aDraw.Maybe() };
    case 11:
      return LinkSilenceTime{ .direct = aDraw.Maybe() };
    case 12:
      return RetryTime{};
    case 13:
      return ResumeTime{};
    case 14:
      return aDraw.Below(8) == 0 ? Event{ DeadlinePassed{} }
                                 : Event{ Connected{} };
    case 15:
      return ServerLost{ ServerId{ std::to_string(aDraw.Below(3)) } };
    case 16:
      return QuarantineChanged{};
    case 17:
      return RandomAnswer(aDraw);
    case 18:
      return EventsRead{ aDraw.Maybe(),
                         aDraw.Below(4) > 0,
                         aDraw.Below(4) == 0,
                         aDraw.Maybe(),
                         aDraw.Maybe() };
    case 19:
      return BodyRead{ static_cast<forward::BodyVerdict>(aDraw.Below(3)),
                       aDraw.Maybe() ? std::uint16_t{ 200 }
                                     : std::uint16_t{ 503 } };
    default:
      return aDraw.Below(8) == 0 ? Event{ CallerGone{} } : Event{ Connected{} };
  }
}

/** @brief What a driver of the request holds, and the promises that it keeps
 * by running the actions in order. */
class Holder
{
public:
  explicit Holder(const State& aState)
    : mState{ aState }
  {
  }

  template<typename A>
  void operator()(const A& /*aAction*/)
  {
    RC_ASSERT(!finished);
  }
  void operator()(const SetTimer& aSet)
  {
    RC_ASSERT(!finished);
    timers.insert(aSet.timer);
  }
  void operator()(const ClearTimers& /*aClear*/) { timers.clear(); }
  void operator()(const ChooseServers& /*aChoose*/)
  {
    RC_ASSERT(!finished && !reserved && !queued);
    reserved = true;
  }
  void operator()(const Connect& /*aConnect*/)
  {
    RC_ASSERT(!finished && reserved && !connection);
    connection = true;
    sent = false;
  }
  void operator()(const SendRequest& aSend)
  {
    // Each connection carries one request.
    RC_ASSERT(!finished && reserved && !answered && connection && !sent);
    RC_ASSERT(aSend.remaining > Duration{});
    sent = true;
    // A request that may run once has no second owner.
    RC_ASSERT(!mayRun || forward::MayRepeat(mState.progress.kind));
    mayRun = true;
  }
  void operator()(const ProbeServer& /*aProbe*/) { connection = false; }
  void operator()(const ReleaseServers& /*aRelease*/)
  {
    reserved = false;
    connection = false;
  }
  void operator()(const LogAttempt& aLog)
  {
    RC_ASSERT(!finished && reserved);
    mayRun = mayRun && aLog.end != forward::AttemptEnd::NotExecuted;
  }
  void operator()(const EnterQueue& /*aEnter*/)
  {
    RC_ASSERT(!queued && !mayRun);
    queued = true;
    place = true;
  }
  void operator()(const LeaveQueue& aLeave)
  {
    RC_ASSERT(queued);
    queued = false;
    place = aLeave.keepsPlace;
  }
  void operator()(const BeginAnswer& /*aBegin*/) { Answer(); }
  void operator()(const ForwardAnswer& /*aForward*/)
  {
    Answer();
    End();
  }
  void operator()(const SendRefusal& aRefuse)
  {
    Answer();
    End();
    // A refusal guarantees that no server runs the request.
    RC_ASSERT(!mayRun || aRefuse.error.executed != Executed::No ||
              aRefuse.error.kind == ErrorKind::DeadlineExceeded ||
              !mState.progress.mayHaveRun);
  }
  void operator()(const EndStream& /*aEnd*/)
  {
    RC_ASSERT(begun);
    End();
  }
  void operator()(const CutAnswer& /*aCut*/)
  {
    RC_ASSERT(begun);
    End();
  }
  void operator()(const SendEvents& /*aSend*/)
  {
    RC_ASSERT(begun && !answered);
  }
  void operator()(const Finish& /*aFinish*/)
  {
    RC_ASSERT(!finished);
    RC_ASSERT(timers.empty() && !connection && !reserved && !queued);
    finished = true;
    place = false;
  }

  std::set<TimerName> timers;
  bool connection{ false };
  /** Whether a request was sent on the connection. */
  bool sent{ false };
  bool reserved{ false };
  bool queued{ false };
  /** Whether it has a place in the queue, also during a search. */
  bool place{ false };
  bool mayRun{ false };
  /** Whether the caller has received the head of a response. */
  bool begun{ false };
  /** Whether the caller has received all that it will receive. */
  bool answered{ false };
  bool finished{ false };

private:
  void Answer()
  {
    RC_ASSERT(!begun);
    begun = true;
  }
  void End()
  {
    RC_ASSERT(!answered);
    answered = true;
  }

  const State& mState;
};

/** @brief The event that follows an action in most cases, so that requests get
 * further than by events at random. */
std::optional<Event>
Result(const Action& aAction, Draw& aDraw)
{
  if (aDraw.Below(8) == 0) {
    return std::nullopt;
  }
  if (std::holds_alternative<ChooseServers>(aAction)) {
    return aDraw.Below(4) == 0 ? Event{ NoServers{ .mayQueue = aDraw.Maybe() } }
                               : Event{ RandomServers(aDraw) };
  }
  if (std::holds_alternative<EnterQueue>(aAction)) {
    return aDraw.Below(4) == 0 ? Event{ QueueRefused{} } : Event{ QueueTurn{} };
  }
  if (std::holds_alternative<Connect>(aAction)) {
    return Connected{};
  }
  if (std::holds_alternative<SendRequest>(aAction)) {
    return RandomAnswer(aDraw);
  }
  return std::nullopt;
}

/** @brief Plays one request; ends it by its caller. */
void
Play(std::uint64_t aSeed)
{
  constexpr int kEvents = 200;
  Draw draw{ aSeed };
  RandomSurroundings surroundings{ draw };
  State state;
  Holder holder{ state };
  Instant now{ 1s };
  std::optional<Event> next{ Accepted{
    static_cast<routing::RequestKind>(draw.Below(4)), Instant{ 20s }, 2 } };
  const auto feed = [&](const Event& aEvent) {
    std::vector<Action> actions;
    const bool ended = state.phase == Phase::Ended;
    // A choice without a result reserves nothing.
    if (std::holds_alternative<NoServers>(aEvent) &&
        state.step == Step::Choosing) {
      holder.reserved = false;
    }
    if (std::holds_alternative<ServersChosen>(aEvent) &&
        state.step == Step::Choosing) {
      holder.place = false;
    }
    Handle(state, aEvent, now, surroundings, actions);
    RC_ASSERT(!ended || actions.empty());
    next.reset();
    for (const auto& action : actions) {
      std::visit(holder, action);
      next = Result(action, draw);
    }
    RC_ASSERT(holder.finished == (state.phase == Phase::Ended));
    // A request keeps its place only while servers are chosen for it.
    RC_ASSERT(!holder.place || holder.queued || state.step == Step::Choosing);
  };
  for (int count = 0; count < kEvents; ++count) {
    now += std::chrono::milliseconds{ draw.Below(40) };
    feed(next ? *next : RandomEvent(draw));
  }
  feed(CallerGone{});
  RC_ASSERT(holder.finished);
}

} // namespace

// Guards against a second owner of a request that may run once, a second
// response, an attempt after the end, and a timer, connection or reservation
// that outlives the request, in any order of events; also against a place in
// the queue that a request keeps with its servers.
Test(exchange_handle, keeps_its_promises_in_any_order_of_events)
{
  cr_assert(rc::check("random orders of events", [] {
    // Rare orders show only in thousands of requests.
    constexpr std::uint64_t kRequests = 50;
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    for (std::uint64_t request = 0; request < kRequests; ++request) {
      Play(seed + request);
    }
  }));
}
