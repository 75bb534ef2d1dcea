#include "balsampoint/http/engine_codec.hpp"

#include "balsampoint/http/internal/json_field.hpp"

#include <nlohmann/json.hpp>

namespace balsampoint::http {

namespace {

using internal::Hex;
using internal::Json;
using internal::Parse;
using internal::ReadHex;

Json
ToJson(const stream::CallId& aId)
{
  return { { "request", aId.request.String() },
           { "attempt", aId.attempt.Value() },
           { "step", aId.step.Value() },
           { "layers", { aId.layers.begin, aId.layers.end } } };
}

LayerRange
ReadLayers(const Json& aLayers)
{
  return { .begin = aLayers.at(0).get<std::uint32_t>(),
           .end = aLayers.at(1).get<std::uint32_t>() };
}

stream::CallId
ReadCallId(const Json& aId)
{
  return {
    .request = RequestId{ aId.at("request").get<std::string>() },
    .attempt = AttemptNumber{ aId.at("attempt").get<std::uint64_t>() },
    .step = StepNumber{ aId.at("step").get<std::uint64_t>() },
    .layers = ReadLayers(aId.at("layers")),
  };
}

/** Restart of the engine that replies; zero when it doesn't say. */
Incarnation
ReadIncarnation(const Json& aReply)
{
  return Incarnation{ aReply.value("incarnation", std::uint64_t{ 0 }) };
}

Json
ToJson(const registry::Holding& aHolding)
{
  return { { "model", aHolding.model.String() },
           { "version", aHolding.version },
           { "adapters", aHolding.adapters },
           { "layers", { aHolding.layers.begin, aHolding.layers.end } },
           { "model_layers", aHolding.modelLayers } };
}

registry::Holding
ReadHolding(const Json& aHolding)
{
  return {
    .model = ModelId{ aHolding.at("model").get<std::string>() },
    .version = aHolding.at("version").get<std::string>(),
    .adapters = aHolding.value("adapters", std::set<std::string>{}),
    .layers = ReadLayers(aHolding.at("layers")),
    .modelLayers = aHolding.at("model_layers").get<std::uint32_t>(),
  };
}

registry::Load
ReadLoad(const Json& aLoad)
{
  return {
    .runningRequests = aLoad.value("running", 0U),
    .queuedRequests = aLoad.value("queued", 0U),
    .kvTokensUsed = aLoad.value("kv_tokens", std::uint64_t{ 0 }),
  };
}

registry::ServerKind
ReadKind(const std::string& aKind)
{
  if (aKind == "engine") {
    return registry::ServerKind::ModelEngine;
  }
  if (aKind == "service") {
    return registry::ServerKind::PlainService;
  }
  throw Failure{ MakeError(ErrorKind::BadRequest,
                           "kind is neither 'engine' nor 'service'") };
}

registry::ServerState
ReadState(const std::string& aState)
{
  if (aState == "ready") {
    return registry::ServerState::Ready;
  }
  if (aState == "leaving") {
    return registry::ServerState::Leaving;
  }
  throw Failure{ MakeError(ErrorKind::BadRequest,
                           "state is neither 'ready' nor 'leaving'") };
}

} // namespace

std::string
Encode(const stream::StepCall& aCall)
{
  const Json document{
    { "id", ToJson(aCall.id) },           { "model", aCall.model.String() },
    { "version", aCall.version },         { "adapter", aCall.adapter },
    { "start", Hex(aCall.start) },        { "input", Hex(aCall.input) },
    { "kv_digest", Hex(aCall.kvDigest) }, { "priority", aCall.priority }
  };
  return document.dump();
}

std::string
Encode(const stream::StepReply& aReply)
{
  const Json document{ { "id", ToJson(aReply.id) },
                       { "incarnation", aReply.incarnation.Value() },
                       { "output", Hex(aReply.output) } };
  return document.dump();
}

std::string
Encode(const stream::ReplayCall& aCall)
{
  Json positions = Json::array();
  for (const auto& position : aCall.positions) {
    positions.push_back({ Hex(position.start), Hex(position.input) });
  }
  const Json document{ { "id", ToJson(aCall.id) },
                       { "model", aCall.model.String() },
                       { "version", aCall.version },
                       { "adapter", aCall.adapter },
                       { "positions", std::move(positions) } };
  return document.dump();
}

std::string
Encode(const stream::ReplayReply& aReply)
{
  Json outputs = Json::array();
  for (const auto output : aReply.outputs) {
    outputs.push_back(Hex(output));
  }
  const Json document{ { "id", ToJson(aReply.id) },
                       { "incarnation", aReply.incarnation.Value() },
                       { "outputs", std::move(outputs) } };
  return document.dump();
}

std::string
Encode(const stream::ImportCall& aCall)
{
  const Json document{ { "id", ToJson(aCall.id) },
                       { "model", aCall.model.String() },
                       { "version", aCall.version },
                       { "source", aCall.source },
                       { "source_request", aCall.sourceRequest.String() },
                       { "kv_digest", Hex(aCall.kvDigest) } };
  return document.dump();
}

std::string
Encode(const registry::Announcement& aAnnouncement)
{
  Json holdings = Json::array();
  for (const auto& holding : aAnnouncement.holdings) {
    holdings.push_back(ToJson(holding));
  }
  const bool engine = aAnnouncement.kind == registry::ServerKind::ModelEngine;
  const bool ready = aAnnouncement.state == registry::ServerState::Ready;
  const auto& load = aAnnouncement.load;
  const Json document{ { "server", aAnnouncement.server.String() },
                       { "incarnation", aAnnouncement.incarnation.Value() },
                       { "kind", engine ? "engine" : "service" },
                       { "address", aAnnouncement.address },
                       { "zone", aAnnouncement.zone.String() },
                       { "accelerator", aAnnouncement.acceleratorKind },
                       { "layer_tokens_per_second",
                         aAnnouncement.layerTokensPerSecond },
                       { "holdings", std::move(holdings) },
                       { "service", aAnnouncement.service.String() },
                       { "kv_capacity_tokens", aAnnouncement.kvCapacityTokens },
                       { "state", ready ? "ready" : "leaving" },
                       { "load",
                         { { "running", load.runningRequests },
                           { "queued", load.queuedRequests },
                           { "kv_tokens", load.kvTokensUsed } } },
                       { "checks_fencing", aAnnouncement.checksFencing } };
  return document.dump();
}

template<>
tl::expected<stream::StepCall, Error>
Decode(std::string_view aText)
{
  return Parse(aText, [](const Json& aDocument) {
    return stream::StepCall{
      .id = ReadCallId(aDocument.at("id")),
      .model = ModelId{ aDocument.at("model").get<std::string>() },
      .version = aDocument.at("version").get<std::string>(),
      .adapter = aDocument.value("adapter", std::string{}),
      .start = ReadHex(aDocument.at("start")),
      .input = ReadHex(aDocument.at("input")),
      .kvDigest = ReadHex(aDocument.at("kv_digest")),
      .priority = aDocument.value("priority", 0U),
    };
  });
}

template<>
tl::expected<stream::StepReply, Error>
Decode(std::string_view aText)
{
  return Parse(aText, [](const Json& aDocument) {
    return stream::StepReply{
      .id = ReadCallId(aDocument.at("id")),
      .incarnation = ReadIncarnation(aDocument),
      .output = ReadHex(aDocument.at("output")),
    };
  });
}

template<>
tl::expected<stream::ReplayCall, Error>
Decode(std::string_view aText)
{
  return Parse(aText, [](const Json& aDocument) {
    stream::ReplayCall call{
      .id = ReadCallId(aDocument.at("id")),
      .model = ModelId{ aDocument.at("model").get<std::string>() },
      .version = aDocument.at("version").get<std::string>(),
      .adapter = aDocument.value("adapter", std::string{}),
    };
    for (const auto& position : aDocument.at("positions")) {
      call.positions.push_back(
        { ReadHex(position.at(0)), ReadHex(position.at(1)) });
    }
    return call;
  });
}

template<>
tl::expected<stream::ReplayReply, Error>
Decode(std::string_view aText)
{
  return Parse(aText, [](const Json& aDocument) {
    stream::ReplayReply reply{ .id = ReadCallId(aDocument.at("id")),
                               .incarnation = ReadIncarnation(aDocument) };
    for (const auto& output : aDocument.at("outputs")) {
      reply.outputs.push_back(ReadHex(output));
    }
    return reply;
  });
}

template<>
tl::expected<stream::ImportCall, Error>
Decode(std::string_view aText)
{
  return Parse(aText, [](const Json& aDocument) {
    return stream::ImportCall{
      .id = ReadCallId(aDocument.at("id")),
      .model = ModelId{ aDocument.at("model").get<std::string>() },
      .version = aDocument.at("version").get<std::string>(),
      .source = aDocument.at("source").get<std::string>(),
      .sourceRequest =
        RequestId{ aDocument.at("source_request").get<std::string>() },
      .kvDigest = ReadHex(aDocument.at("kv_digest")),
    };
  });
}

template<>
tl::expected<registry::Announcement, Error>
Decode(std::string_view aText)
{
  return Parse(aText, [](const Json& aDocument) {
    registry::Announcement announcement{
      .server = ServerId{ aDocument.at("server").get<std::string>() },
      .incarnation =
        Incarnation{ aDocument.at("incarnation").get<std::uint64_t>() },
      .kind = ReadKind(aDocument.at("kind").get<std::string>()),
      .address = aDocument.at("address").get<std::string>(),
      .zone = ZoneId{ aDocument.at("zone").get<std::string>() },
      .acceleratorKind = aDocument.value("accelerator", std::string{}),
      .layerTokensPerSecond = aDocument.value("layer_tokens_per_second", 0.0),
      .service = ServiceId{ aDocument.value("service", std::string{}) },
      .kvCapacityTokens =
        aDocument.value("kv_capacity_tokens", std::uint64_t{ 0 }),
      .state = ReadState(aDocument.value("state", std::string{ "ready" })),
      .load = ReadLoad(aDocument.value("load", Json::object())),
      .checksFencing = aDocument.value("checks_fencing", false),
    };
    for (const auto& holding : aDocument.value("holdings", Json::array())) {
      announcement.holdings.push_back(ReadHolding(holding));
    }
    return announcement;
  });
}

} // namespace balsampoint::http
