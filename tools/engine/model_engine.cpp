#include "engine/model_engine.hpp"

#include "balsampoint/stream/tokenizer.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::engine {

namespace {

constexpr std::uint64_t kWrongKv = 0x5bd1e995a5a5a5a5ULL;

std::uint64_t
Fold(std::uint64_t aHash, std::uint32_t aLayer)
{
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  constexpr unsigned kShift = 29;
  const auto mixed = (aHash ^ (aLayer + 1ULL)) * kMultiplier;
  return mixed ^ (mixed >> kShift);
}

LayerKv
Extend(const LayerKv& aKv, std::uint64_t aStart)
{
  return { .positions = aKv.positions + 1,
           .digest = stream::ExtendKvDigest(aKv.digest, aStart) };
}

} // namespace

ModelEngine::ModelEngine(Holdings aHoldings)
  : mHoldings{ std::move(aHoldings) }
{
}

tl::expected<stream::StepReply, Error>
ModelEngine::Step(const stream::StepCall& aCall)
{
  const auto checked =
    CheckHeld(aCall.model, aCall.version, aCall.adapter, aCall.id.layers)
      .and_then([&] { return CheckAttempt(aCall.id); });
  if (!checked) {
    return tl::unexpected(checked.error());
  }
  const LayerKv wanted{ .positions = aCall.id.step.Value(),
                        .digest = aCall.kvDigest };
  auto& request = mKv[aCall.id.request];
  auto hash = aCall.input;
  for (auto layer = aCall.id.layers.begin; layer < aCall.id.layers.end;
       ++layer) {
    auto& kv = request.try_emplace(layer, LayerKv{ 0, stream::kEmptyKvDigest })
                 .first->second;
    if (kv != wanted) {
      hash ^= kWrongKv;
    }
    hash = Fold(hash, layer);
    kv = Extend(kv, aCall.start);
  }
  return stream::StepReply{ .id = aCall.id, .output = hash };
}

tl::expected<stream::ReplayReply, Error>
ModelEngine::Replay(const stream::ReplayCall& aCall)
{
  const auto checked =
    CheckHeld(aCall.model, aCall.version, aCall.adapter, aCall.id.layers)
      .and_then([&] { return CheckAttempt(aCall.id); });
  if (!checked) {
    return tl::unexpected(checked.error());
  }
  auto& request = mKv[aCall.id.request];
  for (auto layer = aCall.id.layers.begin; layer < aCall.id.layers.end;
       ++layer) {
    request[layer] = { .positions = 0, .digest = stream::kEmptyKvDigest };
  }
  stream::ReplayReply reply{ .id = aCall.id };
  for (const auto& position : aCall.positions) {
    auto hash = position.input;
    for (auto layer = aCall.id.layers.begin; layer < aCall.id.layers.end;
         ++layer) {
      hash = Fold(hash, layer);
      request[layer] = Extend(request[layer], position.start);
    }
    reply.outputs.push_back(hash);
  }
  return reply;
}

tl::expected<void, Error>
ModelEngine::Import(const stream::ImportCall& aCall, const RequestKv& aKv)
{
  const auto held = CheckHeld(aCall.model, aCall.version, {}, aCall.id.layers);
  if (!held) {
    return tl::unexpected(held.error());
  }
  const LayerKv wanted{ .positions = aCall.id.step.Value(),
                        .digest = aCall.kvDigest };
  for (auto layer = aCall.id.layers.begin; layer < aCall.id.layers.end;
       ++layer) {
    const auto found = aKv.find(layer);
    if (found == aKv.end() || found->second != wanted) {
      return Refuse(ErrorKind::BadRequest,
                    "the exported KV is not what the import asks for");
    }
  }
  auto& request = mKv[aCall.id.request];
  for (auto layer = aCall.id.layers.begin; layer < aCall.id.layers.end;
       ++layer) {
    request[layer] = wanted;
  }
  return {};
}

RequestKv
ModelEngine::Export(const RequestId& aRequest) const
{
  const auto found = mKv.find(aRequest);
  return found == mKv.end() ? RequestKv{} : found->second;
}

void
ModelEngine::Cancel(const RequestId& aRequest)
{
  mKv.erase(aRequest);
  mAttempts.erase(aRequest);
}

void
ModelEngine::Load(Holdings aHoldings)
{
  mHoldings = std::move(aHoldings);
  for (auto& [request, kv] : mKv) {
    std::erase_if(kv, [this](const auto& aEntry) {
      return !mHoldings.layers.Holds(aEntry.first);
    });
  }
}

std::uint64_t
ModelEngine::KvTokens() const
{
  std::uint64_t tokens = 0;
  for (const auto& [request, kv] : mKv) {
    std::uint64_t most = 0;
    for (const auto& [layer, entry] : kv) {
      most = std::max(most, entry.positions);
    }
    tokens += most;
  }
  return tokens;
}

tl::expected<void, Error>
ModelEngine::CheckAttempt(const stream::CallId& aId)
{
  auto& newest = mAttempts[aId.request];
  if (aId.attempt < newest) {
    return Refuse(ErrorKind::Conflict, "a newer attempt was seen");
  }
  newest = aId.attempt;
  return {};
}

tl::expected<void, Error>
ModelEngine::CheckHeld(const ModelId& aModel,
                       const std::string& aVersion,
                       const std::string& aAdapter,
                       const LayerRange& aLayers) const
{
  if (aModel != mHoldings.model || aVersion != mHoldings.version) {
    return Refuse(ErrorKind::NoServer, "this model version is not held here");
  }
  if (!aAdapter.empty() && !mHoldings.adapters.contains(aAdapter)) {
    return Refuse(ErrorKind::NoServer, "this adapter is not held here");
  }
  const auto& held = mHoldings.layers;
  if (aLayers.begin < held.begin || aLayers.end > held.end ||
      aLayers.begin >= aLayers.end) {
    return Refuse(ErrorKind::NoServer, "these layers are not held here");
  }
  return {};
}

} // namespace balsampoint::engine
