#pragma once

#include "balsampoint/core/concepts.hpp"

#include <optional>

namespace balsampoint::disk {

/** @brief Bytes before the payload: mark, length and checksum. */
inline constexpr std::size_t kRecordHeaderBytes = 16;
/** @brief Largest payload of one record. */
inline constexpr std::uint32_t kMaxRecordBytes = 256U * 1024U * 1024U;

/**
 * @brief Adds a record to the end of some bytes.
 * @param aBytes Bytes to extend.
 * @param aPayload Content of the record.
 */
void
AppendRecord(ByteVector& aBytes, ByteView aPayload);

/**
 * @brief Reads the record at the start of some bytes.
 * @param aBytes Bytes to read.
 * @return Its payload within the bytes; nothing if it is damaged or cut.
 */
[[nodiscard]] std::optional<ByteView>
ReadRecord(ByteView aBytes);

/**
 * @brief Finds the next whole record.
 * @param aBytes Bytes to search.
 * @return Where it starts; nothing if there is none.
 */
[[nodiscard]] std::optional<std::size_t>
FindRecord(ByteView aBytes);

} // namespace balsampoint::disk
