#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace balsampoint::change {

/** @brief A configuration, split into named sections that change independently.
 */
using Sections = std::map<std::string, std::string>;
/** @brief An immutable configuration. */
using SharedSections = std::shared_ptr<const Sections>;

/** @brief Difference between two configurations. */
struct Delta
{
  Sections upserts;
  std::set<std::string> removals;

  bool operator==(const Delta&) const = default;
};

/** @brief Rule for the number of a change. */
enum class Numbering : std::uint8_t
{
  /** Must be the number in force plus one. */
  Consecutive,
  /** Any number higher than the one in force; others are superseded. */
  Increasing,
};

/** @brief A change as an operator submitted it. */
struct Change
{
  /** Number requested for it. */
  ChangeNumber number;
  ChangeId id;
  OperatorId author;
  /** Digest over the whole configuration; tells a resend from other content. */
  std::string digest;
  /** Whether the delta replaces the whole configuration. */
  bool whole{ false };
  Delta delta;
  Numbering numbering{ Numbering::Consecutive };

  bool operator==(const Change&) const = default;
};

/** @brief Decision on a change. */
enum class Outcome : std::uint8_t
{
  Accepted,
  /** Another change was accepted under the number. */
  Conflict,
  /** The id was used before with another number or content. */
  IdReused,
  /** The number is higher than the next one. */
  NumberSkipped,
  /** The same or a higher number is in force; nothing was changed. */
  Superseded,
};

/** @brief The answer to a change, kept so that a resend gets it again. */
struct Answer
{
  Outcome outcome{ Outcome::Accepted };
  ChangeNumber number;
  /** Change accepted under the number; empty if no longer known. */
  ChangeId winner;
  /** Next number, following the last accepted one. */
  ChangeNumber next;

  bool operator==(const Answer&) const = default;
};

/** @brief A decided change and its answer. */
struct Decided
{
  ChangeNumber number;
  OperatorId author;
  std::string digest;
  Answer answer;

  bool operator==(const Decided&) const = default;
};

/** @brief Number of answers kept for resends under `Numbering::Consecutive`. */
inline constexpr std::size_t kDecidedWindow = 10'000;
/** @brief Number of answers kept for resends under `Numbering::Increasing`. */
inline constexpr std::size_t kSupersededWindow = 256;

/** @brief The replicated table of configuration changes. */
struct Table
{
  /** Number of the configuration in force; zero if none. */
  ChangeNumber number;
  SharedSections sections{ std::make_shared<const Sections>() };
  std::map<ChangeId, Decided> decided;
  /** Ids in the order of their decisions; the oldest is dropped first. */
  std::deque<ChangeId> order;
  std::map<ChangeNumber, ChangeId> winners;
};

} // namespace balsampoint::change
