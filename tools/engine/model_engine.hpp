#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/stream/call.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <tl/expected.hpp>

namespace balsampoint::engine {

/** @brief What one layer's KV of one request holds. */
struct LayerKv
{
  std::uint64_t positions{};
  std::uint64_t digest{};

  auto operator<=>(const LayerKv&) const = default;
};

/** @brief KV of one request, by layer. */
using RequestKv = std::map<std::uint32_t, LayerKv>;

/** @brief What the engine holds of a model. */
struct Holdings
{
  ModelId model;
  std::string version;
  std::set<std::string> adapters;
  LayerRange layers;
};

/**
 * @brief Runs layers by the stand-in arithmetic and keeps KV bookkeeping.
 *
 * A step on a KV that is not exactly what it needs gives another output, so
 * that a step run twice, out of order or on another request's KV shows up in
 * the answer. Has no threads, sockets or clock of its own.
 */
class ModelEngine
{
public:
  /**
   * @brief Starts without requests.
   * @param aHoldings What the engine holds.
   */
  explicit ModelEngine(Holdings aHoldings);

  /**
   * @brief Runs a step and extends the KV.
   * @param aCall The call.
   * @return The output, `NoServer` when the layers are not held, or `Conflict`
   * when a newer attempt was seen.
   */
  [[nodiscard]] tl::expected<stream::StepReply, Error> Step(
    const stream::StepCall& aCall);

  /**
   * @brief Builds the KV of a range anew.
   * @param aCall The call.
   * @return The outputs, `NoServer` when the layers are not held, or
   * `Conflict` when a newer attempt was seen.
   */
  [[nodiscard]] tl::expected<stream::ReplayReply, Error> Replay(
    const stream::ReplayCall& aCall);

  /**
   * @brief Takes over a KV that another engine exported.
   * @param aCall The call.
   * @param aKv KV of the request on the other engine.
   * @return Nothing, or `BadRequest` when it is not what the call asks for.
   */
  [[nodiscard]] tl::expected<void, Error> Import(
    const stream::ImportCall& aCall,
    const RequestKv& aKv);

  /**
   * @brief Copies the KV of a request.
   * @param aRequest The request.
   * @return Its KV by layer, empty if there is none.
   */
  [[nodiscard]] RequestKv Export(const RequestId& aRequest) const;

  /**
   * @brief Drops the KV of a request.
   * @param aRequest The request.
   */
  void Cancel(const RequestId& aRequest);

  /**
   * @brief Changes what the engine holds; KV of lost layers is dropped.
   * @param aHoldings What it holds from now on.
   */
  void Load(Holdings aHoldings);

  /** @brief What the engine holds. */
  [[nodiscard]] const Holdings& Held() const { return mHoldings; }

  /** @brief Requests that have KV here. */
  [[nodiscard]] std::size_t Requests() const { return mKv.size(); }

  /** @brief Positions held, each counted once for each request. */
  [[nodiscard]] std::uint64_t KvTokens() const;

private:
  [[nodiscard]] tl::expected<void, Error> CheckHeld(
    const ModelId& aModel,
    const std::string& aVersion,
    const std::string& aAdapter,
    const LayerRange& aLayers) const;

  [[nodiscard]] tl::expected<void, Error> CheckAttempt(
    const stream::CallId& aId);

  Holdings mHoldings;
  std::map<RequestId, RequestKv> mKv;
  /** Newest attempt seen of each request. */
  std::map<RequestId, AttemptNumber> mAttempts;
};

} // namespace balsampoint::engine
