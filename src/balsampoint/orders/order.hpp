#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/layer_range.hpp"
#include "balsampoint/core/number.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace balsampoint::orders {

/** @brief Loads a range of a model's layers. */
struct LoadModel
{
  ModelId model;
  std::string version;
  LayerRange layers;

  bool operator==(const LoadModel&) const = default;
};

/** @brief Loads an adapter for a model that the engine has loaded. */
struct LoadAdapter
{
  ModelId model;
  std::string version;
  std::string adapter;

  bool operator==(const LoadAdapter&) const = default;
};

/** @brief Unloads a model version. */
struct Unload
{
  ModelId model;
  std::string version;

  bool operator==(const Unload&) const = default;
};

/** @brief Changes the layer range of a model version that is loaded. */
struct ChangeLayers
{
  ModelId model;
  std::string version;
  LayerRange layers;

  bool operator==(const ChangeLayers&) const = default;
};

/** @brief Part of the inference that an engine serves. */
enum class Role : std::uint8_t
{
  Mixed,
  Prefill,
  Decode,
};

/** @brief Changes the role of an engine. */
struct ChangeRole
{
  Role role{};

  bool operator==(const ChangeRole&) const = default;
};

/** @brief Task of an order. */
using Task =
  std::variant<LoadModel, LoadAdapter, Unload, ChangeLayers, ChangeRole>;

/** @brief One order to an engine. */
struct Order
{
  OrderId id;
  /** Fencing number of the lease under which it is sent. */
  FencingNumber fencing;
  ServerId server;
  Task task;
};

/** @brief Result of an order. */
enum class Outcome : std::uint8_t
{
  Done,
  /** The engine refused it and did nothing. */
  Refused,
  /** No answer arrived before the order's deadline. */
  Unknown,
};

} // namespace balsampoint::orders
