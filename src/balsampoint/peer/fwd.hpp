#pragma once

/** @brief Messages between daemons, carried by Thrift. */
namespace balsampoint::peer {

class Authenticator;
class Receiver;
class Sender;

struct Identity;
struct Parcel;

} // namespace balsampoint::peer
