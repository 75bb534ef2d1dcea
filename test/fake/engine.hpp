#pragma once

#include "balsampoint/stream/call.hpp"
#include "balsampoint/stream/tokenizer.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace balsampoint::fake {

/** @brief The arithmetic of one layer of the stand-in engine. */
constexpr std::uint64_t
Fold(std::uint64_t aValue, std::uint32_t aLayer)
{
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  const auto mixed = (aValue ^ (aLayer + 1ULL)) * kMultiplier;
  return mixed ^ (mixed >> 29U);
}

/** @brief The answer that a pipeline must give, worked out directly. */
inline std::string
ExpectedAnswer(std::string_view aPrompt,
               std::uint32_t aLayers,
               std::uint32_t aTokens)
{
  std::string text{ aPrompt };
  for (std::uint32_t token = 0; token < aTokens; ++token) {
    stream::HashTokenizer tokenizer;
    tokenizer.Append(text);
    auto value = tokenizer.Start();
    for (std::uint32_t layer = 0; layer < aLayers; ++layer) {
      value = Fold(value, layer);
    }
    text += stream::HashTokenizer::Text(value);
  }
  return text.substr(aPrompt.size());
}

/**
 * @brief An engine in memory that runs any layers.
 *
 * Where the KV of a layer is not exactly what a step needs, the result is
 * spoilt. It runs whatever arrives, calls of older attempts too.
 */
class Engine
{
public:
  /** @brief Runs a step. */
  stream::StepReply Step(const stream::StepCall& aCall)
  {
    auto value = aCall.input;
    for (auto layer = aCall.id.layers.begin; layer < aCall.id.layers.end;
         ++layer) {
      auto& kv = mKv[aCall.id.request][layer];
      if (kv.positions != aCall.id.step.Value() ||
          kv.digest != aCall.kvDigest) {
        value ^= kSpoil;
      }
      value = Fold(value, layer);
      Extend(kv, aCall.start);
    }
    return stream::StepReply{ .id = aCall.id, .output = value };
  }

  /** @brief Rebuilds KV. */
  stream::ReplayReply Replay(const stream::ReplayCall& aCall)
  {
    stream::ReplayReply reply{ .id = aCall.id };
    for (const auto& position : aCall.positions) {
      reply.outputs.push_back(position.input);
    }
    for (auto layer = aCall.id.layers.begin; layer < aCall.id.layers.end;
         ++layer) {
      auto& kv = mKv[aCall.id.request][layer] = {};
      for (std::size_t at = 0; at < aCall.positions.size(); ++at) {
        Extend(kv, aCall.positions[at].start);
        reply.outputs[at] = Fold(reply.outputs[at], layer);
      }
    }
    return reply;
  }

  /** @brief Copies KV from another engine; false when it isn't there. */
  bool Import(const stream::ImportCall& aCall, const Engine& aSource)
  {
    for (auto layer = aCall.id.layers.begin; layer < aCall.id.layers.end;
         ++layer) {
      const auto kv = aSource.Find(aCall.sourceRequest, layer);
      if (kv.positions != aCall.id.step.Value() ||
          kv.digest != aCall.kvDigest) {
        return false;
      }
      mKv[aCall.id.request][layer] = kv;
    }
    return true;
  }

  /** @brief Drops a request. */
  void Cancel(const RequestId& aRequest) { mKv.erase(aRequest); }

  /** @brief Number of requests with KV. */
  [[nodiscard]] std::size_t Requests() const { return mKv.size(); }

private:
  struct Kv
  {
    std::size_t positions{};
    std::uint64_t digest{ stream::kEmptyKvDigest };
  };

  static constexpr std::uint64_t kSpoil = 0x5bd1e995ULL;

  static void Extend(Kv& aKv, std::uint64_t aStart)
  {
    ++aKv.positions;
    aKv.digest = stream::ExtendKvDigest(aKv.digest, aStart);
  }

  [[nodiscard]] Kv Find(const RequestId& aRequest, std::uint32_t aLayer) const
  {
    const auto request = mKv.find(aRequest);
    if (request == mKv.end()) {
      return {};
    }
    const auto layer = request->second.find(aLayer);
    return layer == request->second.end() ? Kv{} : layer->second;
  }

  std::map<RequestId, std::map<std::uint32_t, Kv>> mKv;
};

} // namespace balsampoint::fake
