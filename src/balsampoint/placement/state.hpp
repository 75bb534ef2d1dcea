#pragma once

#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/placement/engine.hpp"
#include "balsampoint/roster/view.hpp"
#include "balsampoint/routing/document.hpp"

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace balsampoint::placement {

/** @brief Times and timeouts of placement. */
struct Settings
{
  /** Time without a new engine before the first plan is made or engines that
   * hold layers are moved; also the time that a new leader waits before its
   * first order. */
  Duration settleTime{ std::chrono::milliseconds{ 1300 } };
  /** Time for which a silent engine may return before its layers are placed on
   * others. */
  Duration lossTimeout{ std::chrono::milliseconds{ 1500 } };
  /** Timeout of the answer to an order. */
  Duration answerTimeout{ std::chrono::milliseconds{ 800 } };
  /** Time, beyond the load time, after which an order without effect is
   * overdue. */
  Duration effectTimeout{ std::chrono::seconds{ 3 } };
  /** Shortest time between two moves of engines that hold layers. */
  Duration minMoveInterval{ std::chrono::seconds{ 2 } };
};

/** @brief An order to one engine to load a layer range. */
struct Order
{
  LayerRange layers;
  Instant sentAt{};
  /** When the order is repeated if the engine does not hold the range. */
  Instant effectDue{};
  /** Whether its answer is pending. */
  bool pending{ false };
};

/** @brief One engine and the last order to it. */
struct TrackedEngine
{
  roster::Claim claim;
  bool ready{ false };
  /** When it stopped accepting work; `kNever` while it does. */
  Instant lostAt{ kNever };
  /** Number of orders that it has accepted since its start, as last known. */
  std::uint64_t orders{};
  std::optional<Order> order;
};

/** @brief Placement on one host; only the leader sends orders. */
struct State
{
  Settings settings;
  bool leading{ false };
  Instant leadingSince{};
  FencingNumber fencing;
  std::map<ServiceId, routing::EngineProfile> profiles;
  std::map<ServerId, TrackedEngine> engines;
  /** When the newest engine first appeared. */
  Instant lastNewEngineAt{};
  Instant lastMoveAt{};
  Instant nextPoll{ kNever };
};

/** @brief The roster published a new view. */
struct ServersChanged
{
  std::shared_ptr<const roster::View> view;
};

/** @brief A configuration came into force. */
struct Configured
{
  std::map<ServiceId, routing::EngineProfile> profiles;
};

/** @brief This host became leader of the control group, or stepped down. */
struct Leading
{
  bool leading{ false };
  /** Increases with each leader. */
  FencingNumber fencing;
};

/** @brief How an engine answered an order. */
enum class OrderOutcome : std::uint8_t
{
  /** It has begun to load the range, or holds it already. */
  Accepted,
  /** The order does not match the engine's state. */
  Refused,
  /** No answer arrived; the engine may still carry out the order. */
  Unknown,
};

/** @brief An order was answered or timed out. */
struct OrderEnded
{
  ServerId server;
  Incarnation incarnation;
  OrderOutcome outcome{};
};

/** @brief An engine reported its state. */
struct Reported
{
  ServerId server;
  Incarnation incarnation;
  std::uint64_t orders{};
  bool busy{ false };
  std::optional<LayerRange> layers;
};

/** @brief Input of placement. */
using Event =
  std::variant<ServersChanged, Configured, Leading, OrderEnded, Reported>;

/** @brief Orders an engine to load a range; `OrderEnded` follows. */
struct SendOrder
{
  ServerId server;
  Incarnation incarnation;
  /** IP address and port. */
  std::string address;
  LayerRange layers;
  std::uint64_t expectedOrders{};
  FencingNumber fencing;
  Duration timeout{};
};

/** @brief Requests the state of an engine; `Reported` follows if it answers. */
struct RequestReport
{
  ServerId server;
  Incarnation incarnation;
  std::string address;
};

/** @brief Output of placement, carried out by the daemon. */
using Action = std::variant<SendOrder, RequestReport>;

/** @brief Actions collected by a command, in order. */
using Actions = std::vector<Action>;

} // namespace balsampoint::placement
