#pragma once

#include "balsampoint/stream/action.hpp"
#include "balsampoint/stream/event.hpp"
#include "balsampoint/stream/request.hpp"
#include "balsampoint/stream/step_times.hpp"
#include "balsampoint/stream/tokenizer.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace balsampoint::stream {

/** @brief One stage of the answer's chain and what its server's KV holds. */
struct StageState
{
  route::Stage stage;
  /**
   * Id of the request's KV at the server. A rebuilt KV gets a new id, so that
   * an abandoned call that runs late can't change it.
   */
  RequestId session;
  /** Positions in the server's KV of this range; zero if it must be rebuilt. */
  std::size_t kvPositions{};
  /**
   * Inputs of the range's first layer, one for each position so far and the
   * current one; empty and unused unless `keepsInputs`.
   */
  std::vector<std::uint64_t> inputs;
  bool keepsInputs{ true };
  /** The server's lease expired or it restarted, so that its KV is lost. */
  bool gone{ false };
  /** Address to import the KV from; empty if the KV is to be replayed. */
  std::string importSource;
  /** Id of the request's KV at `importSource`. */
  RequestId importSession;
  StepTimes times;
  /** Deadlines missed in a row; each doubles the next deadline. */
  std::uint32_t missedDeadlines{};
};

/** @brief KV of the request that a server may hold and must later drop. */
struct ServerSession
{
  Target target;
  /** Id of the request's KV at the server. */
  RequestId request;
};

/** @brief Kind of a pending call. */
enum class CallKind : std::uint8_t
{
  Step,
  Replay,
  Import,
};

/** @brief The call whose reply is awaited; there is at most one. */
struct PendingCall
{
  CallId id;
  CallKind kind{};
  Instant sentAt{};
};

/** @brief Phase of an answer. */
enum class Phase : std::uint8_t
{
  /** A call is pending. */
  Calling,
  /** A range has no server; a `RouteChosen` is awaited. */
  Choosing,
  /** The answer is complete or has failed. */
  Ended,
};

/** @brief A range without a server, while servers are chosen for it. */
struct PendingChoice
{
  /** Index of the stage to replace, or of the first one to insert. */
  std::size_t stage{};
  LayerRange layers;
  /** Whether a lost stage is replaced; false for the first choice. */
  bool replaces{ false };
  /** State of the lost stage. */
  StageState lost;
  /** Whether the KV may be imported from the lost server. */
  bool canImport{ false };
  /** Whether servers that missed a deadline may be chosen again. */
  bool allowsSlow{ false };
};

/** @brief Counts of events in one answer, for metrics. */
struct Counters
{
  /** Replies that match no pending call or choice. */
  std::uint64_t droppedReplies{};
  std::uint64_t losses{};
  std::uint64_t replays{};
  std::uint64_t imports{};
  std::uint64_t replayedPositions{};
};

/** @brief State of one answer, without the tokenizer. */
struct Progress
{
  StreamRequest request;
  Settings settings;
  Phase phase{ Phase::Ended };
  AttemptNumber attempt;
  /** Position of the token being generated. */
  std::size_t step{};
  /** Inputs of layer 0, one for each position so far and the current one. */
  std::vector<std::uint64_t> starts;
  /** Outputs of the last layer, one for each position so far. */
  std::vector<std::uint64_t> outputs;
  /** Digest of the positions before the current one. */
  std::uint64_t kvDigest{ kEmptyKvDigest };
  std::vector<StageState> stages;
  /** Index of the stage that runs next. */
  std::size_t currentStage{};
  /** Input of that stage at the current position. */
  std::uint64_t input{};
  std::optional<PendingCall> pending;
  std::optional<PendingChoice> pendingChoice;
  /** Servers lost by this answer; not chosen again until they restart. */
  std::vector<route::ExcludedServer> lost;
  /** Servers that missed a deadline or refused a call; chosen again only if
   * no other server can run the range. */
  std::vector<route::ExcludedServer> slow;
  /** Zones of the servers lost at the current position. */
  std::vector<ZoneId> lostZones;
  /** KV that servers are asked to drop when the answer ends. */
  std::vector<ServerSession> sessions;
  Counters counters;
};

/**
 * @brief State of one answer.
 * @tparam T Tokenizer of the pipeline's model.
 */
template<Tokenizer T>
struct BasicState
{
  Progress progress;
  T tokenizer;
};

/** @brief State of an answer of the stand-in engine's model. */
using State = BasicState<HashTokenizer>;

} // namespace balsampoint::stream
