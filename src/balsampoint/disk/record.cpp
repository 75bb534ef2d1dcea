#include "balsampoint/disk/record.hpp"

#include <xxhash.h>

namespace balsampoint::disk {

namespace {

constexpr std::uint32_t kMark = 0x31525042;
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kChecksumOffset = 8;
constexpr unsigned kBitsPerByte = 8;

template<typename Number>
void
AppendNumber(ByteVector& aBytes, Number aNumber)
{
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    aBytes.push_back(static_cast<std::byte>(aNumber >> (i * kBitsPerByte)));
  }
}

template<typename Number>
Number
NumberAt(ByteView aBytes, std::size_t aOffset)
{
  Number number{};
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    const auto byte = static_cast<Number>(aBytes[aOffset + i]);
    number |= byte << (i * kBitsPerByte);
  }
  return number;
}

/** @brief The length is part of the checksum, as its seed. */
std::uint64_t
Checksum(ByteView aPayload)
{
  return XXH64(aPayload.data(), aPayload.size(), aPayload.size());
}

} // namespace

void
AppendRecord(ByteVector& aBytes, ByteView aPayload)
{
  AppendNumber(aBytes, kMark);
  AppendNumber(aBytes, static_cast<std::uint32_t>(aPayload.size()));
  AppendNumber(aBytes, Checksum(aPayload));
  aBytes.insert(aBytes.end(), aPayload.begin(), aPayload.end());
}

std::optional<ByteView>
ReadRecord(ByteView aBytes)
{
  if (aBytes.size() < kRecordHeaderBytes ||
      NumberAt<std::uint32_t>(aBytes, 0) != kMark) {
    return std::nullopt;
  }
  const auto length = NumberAt<std::uint32_t>(aBytes, kLengthOffset);
  if (length > kMaxRecordBytes || length > aBytes.size() - kRecordHeaderBytes) {
    return std::nullopt;
  }
  const auto payload = aBytes.subspan(kRecordHeaderBytes, length);
  if (NumberAt<std::uint64_t>(aBytes, kChecksumOffset) != Checksum(payload)) {
    return std::nullopt;
  }
  return payload;
}

std::optional<std::size_t>
FindRecord(ByteView aBytes)
{
  for (std::size_t at = 0; at + kRecordHeaderBytes <= aBytes.size(); ++at) {
    if (ReadRecord(aBytes.subspan(at))) {
      return at;
    }
  }
  return std::nullopt;
}

} // namespace balsampoint::disk
