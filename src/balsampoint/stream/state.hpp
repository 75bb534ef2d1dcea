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
   * Name of the request at the server. A KV that is built anew gets a new
   * name, so that a call given up earlier can't change it when it runs late.
   */
  RequestId session;
  /** Positions in the server's KV of this range; zero to build it anew. */
  std::size_t kvPositions{};
  /**
   * Inputs of the range's first layer, one for each position so far and the
   * current one; empty and unused unless `keepsInputs`.
   */
  std::vector<std::uint64_t> inputs;
  bool keepsInputs{ true };
  /** The server's lease ended or it restarted: its KV is lost. */
  bool gone{ false };
  /** Address to import the KV from while a recovery prefers that. */
  std::string importSource;
  /** Name of the request there. */
  RequestId importSession;
  StepTimes times;
  /** Deadlines missed in a row; each doubles the next deadline. */
  std::uint32_t missedDeadlines{};
};

/** @brief KV of the request that a server may hold. */
struct ServerSession
{
  Target target;
  /** Name of the request at the server. */
  RequestId request;
};

/** @brief Which kind of call is on its way. */
enum class CallKind : std::uint8_t
{
  Step,
  Replay,
  Import,
};

/** @brief The one call on its way. */
struct PendingCall
{
  CallId id;
  CallKind kind{};
  Instant sentAt{};
};

/** @brief Where an answer stands. */
enum class Phase : std::uint8_t
{
  /** A call is on its way. */
  Calling,
  /** A range has no server; a choice is awaited. */
  Choosing,
  /** The answer was completed or given up. */
  Ended,
};

/** @brief The range that lost its server, while a replacement is chosen. */
struct Vacancy
{
  /** Index of the first stage whose server is gone. */
  std::size_t stage{};
  LayerRange layers;
  /** Whether a stage was lost; false for the first choice. */
  bool replaces{ false };
  /** What is known of the lost stage. */
  StageState lost;
  /** Whether the lost server may still export its KV. */
  bool mayImport{ false };
  /** Whether slow servers are allowed by now. */
  bool lastResort{ false };
};

/** @brief What happened in one answer, for metrics. */
struct Counters
{
  /** Replies that belong to no call on its way. */
  std::uint64_t droppedReplies{};
  std::uint64_t losses{};
  std::uint64_t replays{};
  std::uint64_t imports{};
  std::uint64_t replayedPositions{};
};

/** @brief One answer without its tokenizer. */
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
  std::size_t at{};
  /** Input of that stage at the current position. */
  std::uint64_t input{};
  std::optional<PendingCall> pending;
  std::optional<Vacancy> vacancy;
  /** Servers lost by this answer and not to be chosen again. */
  std::vector<route::ExcludedServer> lost;
  /** Servers that missed a deadline; chosen again only as a last resort. */
  std::vector<route::ExcludedServer> slow;
  /** Zones of the servers lost at the current position. */
  std::vector<ZoneId> lostZones;
  /** KV that servers are told to drop when the request is over. */
  std::vector<ServerSession> sessions;
  Counters counters;
};

/**
 * @brief One answer.
 * @tparam T Tokenizer of the pipeline's model.
 */
template<Tokenizer T>
struct BasicState
{
  Progress progress;
  T tokenizer;
};

/** @brief An answer of the stand-in's model. */
using State = BasicState<HashTokenizer>;

} // namespace balsampoint::stream
