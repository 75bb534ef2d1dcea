#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/layer_range.hpp"
#include "balsampoint/core/number.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace balsampoint::orders {

/** @brief Makes an engine hold a range of a model's layers. */
struct LoadModel
{
  ModelId model;
  std::string version;
  LayerRange layers;

  bool operator==(const LoadModel&) const = default;
};

/** @brief Makes an engine hold an adapter of a model that it holds. */
struct LoadAdapter
{
  ModelId model;
  std::string version;
  std::string adapter;

  bool operator==(const LoadAdapter&) const = default;
};

/** @brief Makes an engine drop a model version. */
struct Unload
{
  ModelId model;
  std::string version;

  bool operator==(const Unload&) const = default;
};

/** @brief Makes an engine hold another range of a version that it holds. */
struct ChangeLayers
{
  ModelId model;
  std::string version;
  LayerRange layers;

  bool operator==(const ChangeLayers&) const = default;
};

/** @brief What engines serve. */
enum class Role : std::uint8_t
{
  Mixed,
  Prefill,
  Decode,
};

/** @brief Makes an engine serve another part of the work. */
struct ChangeRole
{
  Role role{};

  bool operator==(const ChangeRole&) const = default;
};

/** @brief What an engine is told to do. */
using Task =
  std::variant<LoadModel, LoadAdapter, Unload, ChangeLayers, ChangeRole>;

/** @brief One order as it goes to an engine. */
struct Order
{
  OrderId id;
  FencingNumber fencing;
  ServerId server;
  Task task;
};

/** @brief How an order ended. */
enum class Outcome : std::uint8_t
{
  Done,
  /** The engine refused it and did nothing. */
  Refused,
  /** No answer came before every effect must have ended. */
  Unknown,
};

} // namespace balsampoint::orders
