#include "balsampoint/peer/control_codec.hpp"

#include "balsampoint/peer/generated/control_types.h"
#include "balsampoint/peer/thrift_bytes.hpp"

namespace balsampoint::peer {

namespace wire = generated;

ByteVector
Encode(const ControlCommand& aCommand)
{
  wire::ControlCommand command;
  command.table = static_cast<std::int32_t>(aCommand.table);
  command.body = ToText(aCommand.body);
  return ToBytes(command);
}

tl::expected<ControlCommand, Error>
DecodeControlCommand(ByteView aBytes)
{
  return FromBytes<wire::ControlCommand>(aBytes).map(
    [](const wire::ControlCommand& aCommand) {
      return ControlCommand{ static_cast<TableTag>(aCommand.table),
                             FromText(aCommand.body) };
    });
}

ByteVector
Encode(const ControlSnapshot& aSnapshot)
{
  wire::ControlSnapshot snapshot;
  for (const auto& [table, bytes] : aSnapshot) {
    snapshot.tables[static_cast<std::int32_t>(table)] = ToText(bytes);
  }
  return ToBytes(snapshot);
}

tl::expected<ControlSnapshot, Error>
DecodeControlSnapshot(ByteView aBytes)
{
  return FromBytes<wire::ControlSnapshot>(aBytes).map(
    [](const wire::ControlSnapshot& aSnapshot) {
      ControlSnapshot tables;
      for (const auto& [table, bytes] : aSnapshot.tables) {
        tables[static_cast<TableTag>(table)] = FromText(bytes);
      }
      return tables;
    });
}

} // namespace balsampoint::peer
