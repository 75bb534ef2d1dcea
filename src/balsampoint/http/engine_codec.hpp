#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/registry/announcement.hpp"
#include "balsampoint/stream/call.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

/**
 * @brief JSON of the calls between daemons and model engines.
 *
 * 64-bit hashes are strings of hexadecimal digits, since many JSON readers
 * keep only 53 bits of a number. Each decoder returns `BadRequest` with the
 * field that is missing or wrong.
 */
namespace balsampoint::http {

/** @brief Paths of the engines' calls. */
inline constexpr std::string_view kStepsPath = "/v1/steps";
inline constexpr std::string_view kReplaysPath = "/v1/replays";
inline constexpr std::string_view kImportsPath = "/v1/imports";
inline constexpr std::string_view kExportsPath = "/v1/exports";
inline constexpr std::string_view kRequestsPath = "/v1/requests/";
inline constexpr std::string_view kOrdersPath = "/v1/orders";
inline constexpr std::string_view kAnnouncementsPath = "/v1/announcements";

[[nodiscard]] std::string
Encode(const stream::StepCall& aCall);
[[nodiscard]] std::string
Encode(const stream::StepReply& aReply);
[[nodiscard]] std::string
Encode(const stream::ReplayCall& aCall);
[[nodiscard]] std::string
Encode(const stream::ReplayReply& aReply);
[[nodiscard]] std::string
Encode(const stream::ImportCall& aCall);
[[nodiscard]] std::string
Encode(const registry::Announcement& aAnnouncement);

/**
 * @brief Decodes a message of a given type.
 * @tparam Message One of the types that `Encode` takes.
 * @param aText JSON text.
 * @return The message, or `BadRequest`.
 */
template<typename Message>
[[nodiscard]] tl::expected<Message, Error>
Decode(std::string_view aText);

template<>
tl::expected<stream::StepCall, Error>
Decode(std::string_view aText);
template<>
tl::expected<stream::StepReply, Error>
Decode(std::string_view aText);
template<>
tl::expected<stream::ReplayCall, Error>
Decode(std::string_view aText);
template<>
tl::expected<stream::ReplayReply, Error>
Decode(std::string_view aText);
template<>
tl::expected<stream::ImportCall, Error>
Decode(std::string_view aText);
template<>
tl::expected<registry::Announcement, Error>
Decode(std::string_view aText);

} // namespace balsampoint::http
