// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/peer_link.hpp"

#include <boost/asio/buffer.hpp>
#include <utility>

#include "pathcleat/core/seal.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/http/endpoint.hpp"

namespace pathcleat {
namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kHeartbeatPeriod{500};
// Hosts of other regions are told every so many periods.
constexpr std::uint64_t kFarPeriods = 2;

}  // namespace

PeerLink::PeerLink(
    boost::asio::io_context& loop,
    HostTable& hosts,
    EventLog& events,
    PeerTraffic& traffic,
    std::function<HostVersions()> versions,
    std::function<void(const HostInfo&, const HostVersions&)> on_versions)
    : hosts_(hosts),
      events_(events),
      traffic_(traffic),
      versions_(std::move(versions)),
      on_versions_(std::move(on_versions)),
      socket_(loop),
      timer_(loop) {}

Result<void> PeerLink::Open(const std::string& address, std::uint16_t port) {
  error_code error;
  const auto ip = boost::asio::ip::make_address(address, error);
  const udp::endpoint endpoint(ip, port);
  if (!error) {
    socket_.open(endpoint.protocol(), error);
  }
  if (!error) {
    socket_.bind(endpoint, error);
  }
  if (!error) {
    socket_.non_blocking(true, error);
  }
  if (error) {
    return Fail({ErrorCode::kRefused, "open peer port",
                 address + ":" + std::to_string(port), error.message()});
  }
  Receive();
  Tick();
  return {};
}

void PeerLink::Announce() {
  SendToAll(true);
}

void PeerLink::Tell() {
  SendToAll(false);
}

void PeerLink::Tick() {
  const bool far_too = ticks_++ % kFarPeriods == 0;
  for (const KnownHost* host : hosts_.Others()) {
    if (far_too || host->info.region == hosts_.self().region) {
      SendTo(host->info.peer_address, false);
    }
  }
  timer_.expires_after(kHeartbeatPeriod);
  timer_.async_wait([this](const error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

void PeerLink::SendToAll(bool wants_reply) {
  for (const KnownHost* host : hosts_.Others()) {
    SendTo(host->info.peer_address, wants_reply);
  }
}

void PeerLink::SendTo(const std::string& address, bool wants_reply) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint || key_.empty()) {
    return;
  }
  Heartbeat heartbeat;
  heartbeat.host = hosts_.self();
  heartbeat.time = events_.clock().Tick(WallMicros());
  heartbeat.versions = versions_();
  heartbeat.wants_reply = wants_reply;
  const std::string bytes = Seal(EncodeHeartbeat(heartbeat), key_);
  traffic_.OnSent(PeerMessage::kHeartbeat, bytes.size());
  // A datagram that cannot be sent now is lost, as others are on the way.
  error_code lost;
  socket_.send_to(boost::asio::buffer(bytes),
                  udp::endpoint(endpoint->address(), endpoint->port()), 0,
                  lost);
}

void PeerLink::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this](const error_code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          OnDatagram(size);
        }
        Receive();
      });
}

void PeerLink::OnDatagram(std::size_t size) {
  if (key_.empty()) {
    return;
  }
  const auto message = Unseal(std::string_view(buffer_.data(), size), key_);
  const auto heartbeat =
      message ? DecodeHeartbeat(*message) : std::optional<Heartbeat>();
  if (!heartbeat) {
    events_.Record(EventCode::kPeerRejected, sender_.address().to_string(),
                   "a datagram that is no heartbeat of this fleet");
    return;
  }
  traffic_.OnReceived(PeerMessage::kHeartbeat, size);
  events_.clock().Observe(heartbeat->time, WallMicros());
  if (hosts_.OnHeard(heartbeat->host, heartbeat->versions, BootClock::now())) {
    events_.Record(EventCode::kPeerHeard, heartbeat->host.name,
                   "heartbeats arrive from " + heartbeat->host.domain);
  }
  on_versions_(heartbeat->host, heartbeat->versions);
  if (heartbeat->wants_reply) {
    SendTo(heartbeat->host.peer_address, false);
  }
}

}  // namespace pathcleat
