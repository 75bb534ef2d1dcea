#pragma once

#include "balsampoint/core/concepts.hpp"

#include <algorithm>
#include <memory>
#include <span>
#include <string>
#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace balsampoint::peer {

/**
 * @brief Copies bytes into the string that generated code holds them in.
 * @param aBytes The bytes.
 */
[[nodiscard]] inline std::string
ToText(ByteView aBytes)
{
  std::string text(aBytes.size(), '\0');
  std::ranges::transform(aBytes, text.begin(), [](std::byte aByte) {
    return static_cast<char>(aByte);
  });
  return text;
}

/**
 * @brief Copies bytes out of a string of generated code.
 * @param aText The string.
 */
[[nodiscard]] inline ByteVector
FromText(std::string_view aText)
{
  const auto bytes = std::as_bytes(std::span{ aText });
  return { bytes.begin(), bytes.end() };
}

/**
 * @brief Encodes a generated struct.
 * @tparam Struct The struct's type.
 * @param aStruct The struct.
 * @return Its bytes.
 */
template<typename Struct>
[[nodiscard]] ByteVector
ToBytes(const Struct& aStruct)
{
  using Buffer = apache::thrift::transport::TMemoryBuffer;
  const auto buffer = std::make_shared<Buffer>();
  apache::thrift::protocol::TCompactProtocolT<Buffer> protocol{ buffer };
  aStruct.write(&protocol);
  std::uint8_t* data = nullptr;
  std::uint32_t size = 0;
  buffer->getBuffer(&data, &size);
  const auto bytes = std::as_bytes(std::span{ data, size });
  return { bytes.begin(), bytes.end() };
}

/**
 * @brief Decodes a generated struct that must fill the bytes.
 * @tparam Struct The struct's type.
 * @param aBytes Its bytes.
 * @return The struct, or `ErrorKind::BadRequest`.
 */
template<typename Struct>
[[nodiscard]] tl::expected<Struct, Error>
FromBytes(ByteView aBytes)
{
  using Buffer = apache::thrift::transport::TMemoryBuffer;
  auto copy = ToText(aBytes);
  const auto buffer = std::make_shared<Buffer>();
  buffer->resetBuffer(
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    reinterpret_cast<std::uint8_t*>(copy.data()),
    static_cast<std::uint32_t>(copy.size()));
  apache::thrift::protocol::TCompactProtocolT<Buffer> protocol{ buffer };
  try {
    Struct decoded;
    decoded.read(&protocol);
    if (buffer->available_read() != 0) {
      return Refuse(ErrorKind::BadRequest, "bytes follow the message");
    }
    return decoded;
  } catch (const apache::thrift::TException& exception) {
    return Refuse(ErrorKind::BadRequest, exception.what());
  }
}

} // namespace balsampoint::peer
