#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/id.hpp"
#include "balsampoint/core/layer_range.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/fleet/chain.hpp"
#include "balsampoint/roster/claim.hpp"
#include "balsampoint/routing/document.hpp"
#include "balsampoint/wire/head.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

namespace balsampoint::edge {

/** @brief Tokens that a request reads and writes. */
struct TokenDemand
{
  double prompt{};
  /** Most tokens of the answer. */
  double maxAnswer{};
  /** The caller's own estimate of the answer. */
  std::optional<double> expectedAnswer;
};

/** @brief What a caller's request says, free of its encoding. */
struct Inquiry
{
  RequestId id;
  std::string host;
  /** How long the caller waits; absent if it does not say. */
  std::optional<Duration> patience;
  std::optional<std::string> key;
  std::optional<TokenDemand> tokens;
  /** Last event that the caller has of an earlier answer. */
  std::optional<std::uint64_t> resumeAfter;
};

/** @brief A request as it goes to a backend server. */
struct Outgoing
{
  const wire::RequestHead& head;
  std::string_view body;
  /** Time that is left for the answer. */
  Duration left{};
  /** The servers; the first one receives the request. */
  std::span<const fleet::Hop> hops;
  /** Empty for public routes. */
  WorkspaceId workspace;
  std::uint32_t priority{};
  /** Last event that the caller has; absent for a whole answer. */
  std::optional<std::uint64_t> resumeAfter;
};

/** @brief What the head of a server's answer says. */
struct AnswerFacts
{
  /** The request that it answers; absent if not told. */
  std::optional<std::string_view> request;
  /** Whether the server says that the request has not run. */
  bool notExecuted{ false };
  /** Address of the server of a chain that was at fault. */
  std::optional<std::string_view> atFault;
};

/** @brief An operator brings a whole configuration. */
struct PutConfiguration
{};

/** @brief An operator reads the configuration in force. */
struct GetConfiguration
{};

/** @brief A server announces itself. */
struct ServerHeartbeat
{
  ServerId server;
};

/** @brief A server signs off. */
struct ServerSignOff
{
  ServerId server;
};

/** @brief Calls that operators and servers make. */
using ControlCall = std::
  variant<PutConfiguration, GetConfiguration, ServerHeartbeat, ServerSignOff>;

/** @brief Makes an engine hold a range of layers. */
struct LayerOrder
{
  LayerRange layers;
  /** Orders that the engine has accepted; others make it refuse. */
  std::optional<std::uint64_t> expectedOrders;
  FencingNumber fencing;
};

/** @brief What an engine reports of itself. */
struct EngineReport
{
  /** Orders that it has accepted since its start. */
  std::uint64_t orders{};
  bool busy{ false };
  std::optional<LayerRange> layers;
};

/**
 * @brief Names and formats of requests, answers and calls; decides nothing.
 * @tparam D Type to test.
 */
template<typename D>
concept Dialect = requires(const wire::RequestHead& aRequest,
                           const wire::ResponseHead& aResponse,
                           const Outgoing& aOutgoing,
                           const Error& aError,
                           const LayerOrder& aOrder,
                           std::string_view aText) {
  {
    D::ReadInquiry(aRequest)
  } -> std::same_as<tl::expected<Inquiry, Error>>;
  {
    D::WriteRequest(aOutgoing)
  } -> std::same_as<std::string>;
  {
    D::ReadAnswer(aResponse)
  } -> std::same_as<AnswerFacts>;
  {
    D::WriteRefusal(aError, true)
  } -> std::same_as<std::string>;
  {
    D::WriteRedirect(aText, true)
  } -> std::same_as<std::string>;
  {
    D::ReadControlCall(aRequest)
  } -> std::same_as<tl::expected<ControlCall, Error>>;
  {
    D::ReadConfiguration(aText)
  } -> std::same_as<tl::expected<routing::Document, Error>>;
  {
    D::ReadHeartbeat(aText, aText)
  } -> std::same_as<tl::expected<roster::Claim, Error>>;
  {
    D::ReadBirth(aText)
  } -> std::same_as<std::optional<Incarnation>>;
  {
    D::WriteLayerOrder(aOrder, aText)
  } -> std::same_as<std::string>;
  {
    D::Accepted(std::uint16_t{})
  } -> std::same_as<bool>;
  {
    D::WriteReportRequest(aText)
  } -> std::same_as<std::string>;
  {
    D::ReadReport(aText)
  } -> std::same_as<tl::expected<EngineReport, Error>>;
};

} // namespace balsampoint::edge
