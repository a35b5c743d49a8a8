#pragma once

#include "Request/Failure.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusrail {

/** An IPv4 number and a port. */
struct SocketAddress
{
  std::string ip_;
  std::uint16_t port_ = 0;

  std::string Text() const { return ip_ + ":" + std::to_string(port_); }
  /** Only processes of this host can reach it. */
  bool IsLoopback() const { return ip_.starts_with("127."); }
  bool operator==(const SocketAddress&) const = default;
};

/** Reads "IP:PORT"; a name is not taken, nor a port over 65535. */
Result<SocketAddress>
ParseSocketAddress(std::string_view aText);

}
