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

/** @brief Times of placement. */
struct Settings
{
  /** Time without a new engine after which the first plan is made and engines
   * that hold layers are moved; also the time that a new leader looks on. */
  Duration settle{ std::chrono::milliseconds{ 1300 } };
  /** Time that a lost engine may come back before others take its part. */
  Duration lossPatience{ std::chrono::milliseconds{ 1500 } };
  /** Time for the answer to an order. */
  Duration answerLimit{ std::chrono::milliseconds{ 800 } };
  /** Time after which an order that shows no effect is looked into. */
  Duration effectLimit{ std::chrono::seconds{ 3 } };
  /** Shortest time between two moves of engines that hold layers. */
  Duration movePause{ std::chrono::seconds{ 2 } };
};

/** @brief An order to one engine. */
struct Order
{
  LayerRange layers;
  Instant givenAt{};
  /** Time by which its effect is expected. */
  Instant effectDue{};
  /** Whether an answer is awaited. */
  bool open{ false };
};

/** @brief One engine and what it was told. */
struct Known
{
  roster::Claim claim;
  bool ready{ false };
  /** When it was lost; `kNever` while it is there. */
  Instant lostAt{ kNever };
  /** Orders accepted since its start, as far as known. */
  std::uint64_t orders{};
  std::optional<Order> order;
};

/** @brief Placement on one host; only the leader gives orders. */
struct State
{
  Settings settings;
  bool leading{ false };
  Instant leadingSince{};
  FencingNumber fencing;
  std::map<ServiceId, routing::EngineProfile> profiles;
  std::map<ServerId, Known> engines;
  /** When an engine was last seen for the first time. */
  Instant newestAt{};
  Instant lastMoveAt{};
  Instant nextLook{ kNever };
};

/** @brief The servers changed. */
struct ServersChanged
{
  std::shared_ptr<const roster::View> view;
};

/** @brief A configuration came into force. */
struct Configured
{
  std::map<ServiceId, routing::EngineProfile> profiles;
};

/** @brief This host leads the control group from now on, or no longer. */
struct Leading
{
  bool leading{ false };
  /** Rises with each leader. */
  FencingNumber fencing;
};

/** @brief How an engine answered an order. */
enum class OrderOutcome : std::uint8_t
{
  /** It has begun, or holds the range already. */
  Accepted,
  /** It does not fit the engine's state. */
  Refused,
  /** No answer came; it may be carried out later. */
  Unknown,
};

/** @brief An engine answered an order, or did not. */
struct OrderEnded
{
  ServerId server;
  Incarnation born;
  OrderOutcome outcome{};
};

/** @brief What an engine says of itself. */
struct Reported
{
  ServerId server;
  Incarnation born;
  std::uint64_t orders{};
  bool busy{ false };
  std::optional<LayerRange> layers;
};

/** @brief What placement reacts to. */
using Event =
  std::variant<ServersChanged, Configured, Leading, OrderEnded, Reported>;

/** @brief Orders an engine to hold a range; `OrderEnded` follows. */
struct Give
{
  ServerId server;
  Incarnation born;
  /** IP number and port. */
  std::string address;
  LayerRange layers;
  std::uint64_t expectedOrders{};
  FencingNumber fencing;
  Duration limit{};
};

/** @brief Asks an engine for its state; `Reported` follows if it answers. */
struct AskReport
{
  ServerId server;
  Incarnation born;
  std::string address;
};

/** @brief What placement asks of the daemon. */
using Action = std::variant<Give, AskReport>;

/** @brief Collects what a command asks of the daemon. */
using Actions = std::vector<Action>;

} // namespace balsampoint::placement
