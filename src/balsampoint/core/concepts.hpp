#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/id.hpp"
#include "balsampoint/core/time.hpp"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace balsampoint {

/** @brief A read-only view of bytes. */
using ByteView = std::span<const std::byte>;
/** @brief An owning buffer of bytes. */
using ByteVector = std::vector<std::byte>;

/**
 * @brief A source of the monotonic time.
 * @tparam T Type to test.
 */
template<typename T>
concept ClockSource = requires(const T& aClock) {
  {
    aClock.Now()
  } -> std::same_as<Instant>;
};

/**
 * @brief A generator of uniformly distributed 64-bit numbers.
 * @tparam T Type to test.
 */
template<typename T>
concept RandomSource = requires(T& aRandom) {
  {
    aRandom.Next()
  } -> std::same_as<std::uint64_t>;
};

/**
 * @brief Sends messages to other hosts without blocking; messages may be lost.
 * @tparam T Type to test.
 * @tparam Message Type of the messages.
 */
template<typename T, typename Message>
concept Transport =
  requires(T& aTransport, const HostId& aTo, const Message& aMessage) {
    {
      aTransport.Send(aTo, aMessage)
    } -> std::same_as<void>;
  };

/**
 * @brief The files of one folder. Appended bytes are durable only after `Sync`.
 *
 * `Replace` writes a whole file atomically and durably: after a crash the file
 * has either the old or the new content.
 * @tparam T Type to test.
 */
template<typename T>
concept Disk = requires(T& aDisk,
                        std::string_view aName,
                        ByteView aBytes,
                        std::uint64_t aSize) {
  {
    aDisk.Append(aName, aBytes)
  } -> std::same_as<tl::expected<void, Error>>;
  {
    aDisk.Sync(aName)
  } -> std::same_as<tl::expected<void, Error>>;
  {
    aDisk.Replace(aName, aBytes)
  } -> std::same_as<tl::expected<void, Error>>;
  {
    aDisk.Truncate(aName, aSize)
  } -> std::same_as<tl::expected<void, Error>>;
  {
    aDisk.Remove(aName)
  } -> std::same_as<tl::expected<void, Error>>;
  {
    aDisk.Read(aName)
  } -> std::same_as<tl::expected<ByteVector, Error>>;
  {
    aDisk.List()
  } -> std::same_as<tl::expected<std::vector<std::string>, Error>>;
};

/**
 * @brief A decision module that the control thread runs.
 *
 * `Handle` and `Tick` are commands: they change the state and append actions
 * for the adapters. `NextDeadline` is a query: the time at which `Tick` must be
 * called next.
 * @tparam M Type to test; defines `State`, `Event` and `Action`.
 */
template<typename M>
concept ControlModule = requires(typename M::State& aState,
                                 const typename M::State& aConstState,
                                 const typename M::Event& aEvent,
                                 std::vector<typename M::Action>& aActions,
                                 Instant aNow) {
  {
    M::Handle(aState, aEvent, aNow, aActions)
  } -> std::same_as<void>;
  {
    M::Tick(aState, aNow, aActions)
  } -> std::same_as<void>;
  {
    M::NextDeadline(aConstState)
  } -> std::same_as<Instant>;
};

} // namespace balsampoint
