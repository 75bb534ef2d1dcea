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
#include <vector>

namespace balsampoint::edge {

/** @brief Token counts of a request to a language model. */
struct TokenDemand
{
  /** Tokens of the prompt. */
  double promptTokens{};
  /** Maximum number of tokens to generate. */
  double maxAnswerTokens{};
  /** The caller's estimate of the generated tokens; absent if not sent. */
  std::optional<double> expectedAnswerTokens;
};

/** @brief Parameters of a caller's request, independent of its encoding. */
struct RequestParameters
{
  RequestId id;
  /** Host name without the port. */
  std::string host;
  /** Timeout that the caller asks for; absent if it sends none. */
  std::optional<Duration> timeout;
  /** API key; absent if none is sent. */
  std::optional<std::string> key;
  std::optional<TokenDemand> tokens;
  /** Parts of the prompt that other requests may share, in order; bounded by
   * the codec. */
  std::vector<PromptPartId> sharedParts;
  /** Id of the last event that the caller received of an interrupted stream;
   * absent for a new stream. */
  std::optional<std::uint64_t> resumeAfter;
};

/** @brief A request to be sent to a backend server. */
struct OutgoingRequest
{
  const wire::RequestHead& head;
  std::string_view body;
  /** Time until the deadline of the request. */
  Duration remainingTime{};
  /** Chain of servers; the request is sent to the first one. */
  std::span<const fleet::Hop> hops;
  /** Empty for public routes. */
  WorkspaceId workspace;
  /** Lower is served first. */
  std::uint32_t priority{};
  /** Id of the last event that the caller received; absent for a stream from
   * its beginning. */
  std::optional<std::uint64_t> resumeAfter;
};

/** @brief Contents of the head of a server's response. */
struct ResponseMetadata
{
  /** Id of the request that it responds to, the first one if it names several;
   * absent if it names none. */
  std::optional<std::string_view> request;
  /** Number of times that it names a request. */
  std::size_t namedRequests{};
  /** Number of the server's authentication codes. */
  std::size_t authenticationCodes{};
  /** Whether the body has a content coding. */
  bool hasContentCoding{ false };
  /** Whether the server states that it has not run the request. */
  bool notExecuted{ false };
  /** Address of the server in the chain that refused the request; absent if
   * not sent. */
  std::optional<std::string_view> atFault;
  /** Whether the server says that it is leaving. */
  bool leaving{ false };
  /** Time for which the server wants no requests; absent for none. */
  std::optional<Duration> retryAfter;
  /** Whether it comes from another server than the one that was meant. */
  bool misdirected{ false };
  /** Requests per second that the server takes from all hosts together; absent
   * for no limit. */
  std::optional<double> rateLimit;
};

/** @brief An operator's call that submits a whole configuration. */
struct PutConfiguration
{};

/** @brief An operator's call that reads the configuration in force. */
struct GetConfiguration
{};

/** @brief A server's call that announces the server and its state. */
struct ServerHeartbeat
{
  ServerId server;
};

/** @brief A server's call that removes its announcement. */
struct ServerSignOff
{
  ServerId server;
};

/** @brief A call of an operator or a server on the control listener. */
using ControlCall = std::
  variant<PutConfiguration, GetConfiguration, ServerHeartbeat, ServerSignOff>;

/** @brief Order to an engine to load a range of layers. */
struct LayerOrder
{
  LayerRange layers;
  /** Number of accepted orders on which this one depends: the engine refuses
   * it at any other number. Absent for no condition. */
  std::optional<std::uint64_t> expectedOrders;
  FencingNumber fencing;
};

/** @brief State that an engine reports. */
struct EngineReport
{
  /** Number of orders accepted since its start. */
  std::uint64_t orders{};
  /** Whether it is still carrying out an order. */
  bool busy{ false };
  /** Layers that it holds; absent for none. */
  std::optional<LayerRange> layers;
};

/**
 * @brief Encoding of requests, responses and control calls, without any
 * routing decision.
 * @tparam D Type to check.
 */
template<typename D>
concept Dialect = requires(const wire::RequestHead& aRequest,
                           const wire::ResponseHead& aResponse,
                           const OutgoingRequest& aOutgoing,
                           const Error& aError,
                           const LayerOrder& aOrder,
                           std::string_view aText) {
  {
    D::ReadRequestParameters(aRequest)
  } -> std::same_as<tl::expected<RequestParameters, Error>>;
  {
    D::WriteRequest(aOutgoing)
  } -> std::same_as<std::string>;
  {
    D::ReadResponse(aResponse)
  } -> std::same_as<ResponseMetadata>;
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
    D::ReadIncarnation(aText)
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
