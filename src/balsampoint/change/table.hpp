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

/** @brief A configuration in parts that change apart, by their names. */
using Sections = std::map<std::string, std::string>;
/** @brief A configuration that nobody changes any more. */
using SharedSections = std::shared_ptr<const Sections>;

/** @brief What turns one configuration into the next. */
struct Delta
{
  Sections upserts;
  std::set<std::string> removals;

  bool operator==(const Delta&) const = default;
};

/** @brief Which numbers a change may have. */
enum class Numbering : std::uint8_t
{
  /** Only the one after that of the configuration in force. */
  Consecutive,
  /** Any higher one; a lower one is passed over. */
  Increasing,
};

/** @brief A change as an operator submitted it. */
struct Change
{
  /** Number it is to have. */
  ChangeNumber number;
  ChangeId id;
  OperatorId author;
  /** Tells two contents apart; made over the whole configuration. */
  std::string digest;
  /** Whether the delta holds the whole configuration. */
  bool whole{ false };
  Delta delta;
  Numbering numbering{ Numbering::Consecutive };

  bool operator==(const Change&) const = default;
};

/** @brief How a change was decided. */
enum class Outcome : std::uint8_t
{
  Accepted,
  /** Another change has the number. */
  Conflict,
  /** The id was used before with another content. */
  IdReused,
  /** The number is not the one that follows. */
  NumberSkipped,
  /** A higher number is in force; nothing was changed. */
  Superseded,
};

/** @brief The answer to a change; the first one is kept for resends. */
struct Answer
{
  Outcome outcome{ Outcome::Accepted };
  ChangeNumber number;
  /** The change that has the number; empty if that is no longer known. */
  ChangeId winner;
  /** The number that follows the accepted ones. */
  ChangeNumber next;

  bool operator==(const Answer&) const = default;
};

/** @brief A change that has its answer. */
struct Decided
{
  ChangeNumber number;
  OperatorId author;
  std::string digest;
  Answer answer;

  bool operator==(const Decided&) const = default;
};

/** @brief Answers kept for resends. */
inline constexpr std::size_t kDecidedWindow = 10'000;
/** @brief The same where only the highest number counts. */
inline constexpr std::size_t kSupersededWindow = 256;

/** @brief The replicated table of configuration changes. */
struct Table
{
  ChangeNumber number;
  SharedSections sections{ std::make_shared<const Sections>() };
  std::map<ChangeId, Decided> decided;
  /** Ids in the order of their decisions; the oldest leaves first. */
  std::deque<ChangeId> order;
  std::map<ChangeNumber, ChangeId> winners;
};

} // namespace balsampoint::change
