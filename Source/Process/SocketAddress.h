#pragma once

#include "Request/Failure.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusrail {

/** IPv4 address and port. */
struct SocketAddress
{
  std::string ip_;
  std::uint16_t port_ = 0;

  std::string Text() const { return ip_ + ":" + std::to_string(port_); }
  /** Returns whether only processes of this host can reach the address. */
  bool IsLoopback() const { return ip_.starts_with("127."); }
  bool operator==(const SocketAddress&) const = default;
};

/** Parses "IP:PORT"; rejects host names and ports above 65535. */
Result<SocketAddress>
ParseSocketAddress(std::string_view aText);

}
