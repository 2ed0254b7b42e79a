// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/peer_link.hpp"

#include <boost/asio/buffer.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/peer_datagram.hpp"
#include "pathcleat/http/endpoint.hpp"

namespace pathcleat {
namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kHeartbeatInterval{500};

}  // namespace

PeerLink::PeerLink(
    boost::asio::io_context& loop,
    HostTable& hosts,
    EventLog& events,
    HandlerFailures& failures,
    PeerTraffic& traffic,
    const PeerPublishers& publishers,
    std::function<HostVersions()> versions,
    std::function<void(const std::string&, const HostVersions&)> on_versions)
    : hosts_(hosts),
      reporter_(hosts, BootClock::now()),
      plan_(hosts),
      events_(events),
      failures_(failures),
      traffic_(traffic),
      publishers_(publishers),
      versions_(std::move(versions)),
      on_versions_(std::move(on_versions)),
      socket_(loop),
      timer_(loop) {}

Result<void> PeerLink::Bind(const std::string& address, std::uint16_t port) {
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
    Close();
    const bool in_use = error == boost::asio::error::address_in_use;
    return Fail({in_use ? ErrorCode::kInUse : ErrorCode::kRefused,
                 "open peer port", address + ":" + std::to_string(port),
                 error.message()});
  }
  return {};
}

void PeerLink::Close() {
  error_code ignored;
  socket_.close(ignored);
}

void PeerLink::Start() {
  reporter_.SetStarted(BootClock::now());
  Receive();
  Tick();
}

void PeerLink::Announce() {
  SendHeartbeats(plan_.AllInDomain(), true);
  for (const std::string& address : reporter_.Receivers(BootClock::now())) {
    SendHeartbeat(address, true);
  }
}

void PeerLink::PublishHeartbeat() {
  SendHeartbeats(plan_.AllInDomain(), false);
}

// A message that can't be made costs the others nothing.
void PeerLink::SendPeriodic(Time now) {
  const auto run = [this](const char* part, const auto& step) {
    failures_.Run(EntryPoint::kPeerTick, part, step);
  };
  run("heartbeats", [&] { SendHeartbeats(plan_.Receivers(now), false); });
  run("reports", [&] {
    if (reporter_.IsReporter(now)) {
      SendReports();
    }
  });
  run("usage", [this] { PublishUsage(); });
  run("crashes", [this] { PublishCrashes(); });
  run("statements", [this] { PublishStatements(); });
}

void PeerLink::Tick() {
  SendPeriodic(BootClock::now());
  timer_.expires_after(kHeartbeatInterval);
  timer_.async_wait([this](const error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

void PeerLink::SendHeartbeats(const std::vector<std::string>& receivers,
                              bool wants_reply) {
  if (receivers.empty()) {
    return;
  }
  const std::string sealed = SealHeartbeat(wants_reply);
  for (const std::string& address : receivers) {
    SendSealedHeartbeat(address, sealed);
  }
}

void PeerLink::SendReports() {
  const Time now = BootClock::now();
  plan_.OnOwnDomainReport(now);
  std::vector<DomainReport> reports = reporter_.MakeReports(versions_(), now);
  reports.front().rollout_tallies = publishers_.tallies.DomainTallies(now);
  SendReportsTo(reports, reporter_.Receivers(now));
  for (DomainReport& report : reports) {
    report.forward_to_domain = false;
  }
  SendReportsTo(reports, plan_.OwnReportReceivers(now));
}

void PeerLink::SendReportsTo(const std::vector<DomainReport>& reports,
                             const std::vector<std::string>& receivers) {
  if (receivers.empty()) {
    return;
  }
  std::vector<std::string> sealed;
  for (DomainReport report : reports) {
    report.time = events_.clock().Tick(WallMicros());
    sealed.push_back(SealDatagram(DatagramKind::kDomainReport,
                                  EncodeDomainReport(report), key_));
  }
  for (const std::string& address : receivers) {
    for (const std::string& bytes : sealed) {
      SendReport(address, bytes);
    }
  }
}

std::string PeerLink::SealHeartbeat(bool wants_reply) {
  Heartbeat heartbeat;
  heartbeat.host = hosts_.self();
  heartbeat.time = events_.clock().Tick(WallMicros());
  heartbeat.versions = versions_();
  heartbeat.wants_reply = wants_reply;
  heartbeat.rollout_tallies = publishers_.tallies.OwnTallies();
  return SealDatagram(DatagramKind::kHeartbeat, EncodeHeartbeat(heartbeat),
                      key_);
}

void PeerLink::SendSealedHeartbeat(const std::string& address,
                                   const std::string& heartbeat) {
  traffic_.OnSent(PeerMessageKind::kHeartbeat, heartbeat.size());
  Send(address, heartbeat);
}

void PeerLink::SendHeartbeat(const std::string& address, bool wants_reply) {
  SendSealedHeartbeat(address, SealHeartbeat(wants_reply));
}

void PeerLink::SendReport(const std::string& address,
                          const std::string& sealed) {
  traffic_.OnSent(PeerMessageKind::kDomainReport, sealed.size());
  Send(address, sealed);
}

void PeerLink::Send(const std::string& address, const std::string& sealed) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint || key_.empty()) {
    return;
  }
  // A datagram that cannot be sent now is dropped. The protocol copes with lost
  // datagrams anyway.
  error_code ignored_error;
  socket_.send_to(boost::asio::buffer(sealed),
                  udp::endpoint(endpoint->address(), endpoint->port()), 0,
                  ignored_error);
}

void PeerLink::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this](const error_code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          failures_.Run(EntryPoint::kDatagram, sender_.address().to_string(),
                        [this, size] { OnDatagram(size); });
        }
        Receive();
      });
}

void PeerLink::OnDatagram(std::size_t size) {
  hosts_.CheckForStall(BootClock::now());
  if (key_.empty()) {
    return;
  }
  const std::string_view bytes(buffer_.data(), size);
  const auto datagram = OpenDatagram(bytes, key_);
  if (datagram && datagram->kind == DatagramKind::kHeartbeat) {
    if (const auto heartbeat = DecodeHeartbeat(datagram->message)) {
      traffic_.OnReceived(PeerMessageKind::kHeartbeat, size);
      OnHeartbeat(*heartbeat);
      return;
    }
  } else if (datagram && datagram->kind == DatagramKind::kDomainReport) {
    if (const auto report = DecodeDomainReport(datagram->message)) {
      traffic_.OnReceived(PeerMessageKind::kDomainReport, size);
      OnDomainReport(*report);
      return;
    }
  } else if (datagram && datagram->kind == DatagramKind::kUsage) {
    if (const auto report = DecodeUsage(datagram->message)) {
      traffic_.OnReceived(PeerMessageKind::kUsage, size);
      OnUsageReport(*report);
      return;
    }
  } else if (datagram && datagram->kind == DatagramKind::kCrashes) {
    if (const auto report = DecodeCrashes(datagram->message)) {
      traffic_.OnReceived(PeerMessageKind::kCrashes, size);
      OnCrashReport(*report);
      return;
    }
  } else if (datagram && datagram->kind == DatagramKind::kLimits) {
    if (const auto report = DecodeStatements(datagram->message)) {
      traffic_.OnReceived(PeerMessageKind::kLimits, size);
      OnStatementReport(*report);
      return;
    }
  } else if (datagram) {
    // During an upgrade, hosts of another version may send formats that are
    // unknown here.
    traffic_.OnUnknownFormat();
    return;
  }
  events_.Record(EventCode::kPeerRejected, sender_.address().to_string(),
                 "datagram is malformed or has no valid MAC of this fleet");
}

void PeerLink::OnHeartbeat(const Heartbeat& heartbeat) {
  events_.clock().Observe(heartbeat.time, WallMicros());
  if (hosts_.OnHeartbeat(heartbeat.host, heartbeat.versions,
                         BootClock::now())) {
    events_.Record(EventCode::kPeerHeard, heartbeat.host.name,
                   "heartbeats arrive from " + heartbeat.host.domain);
  }
  on_versions_(heartbeat.host.name, heartbeat.versions);
  if (heartbeat.host.domain == hosts_.self().domain) {
    publishers_.tallies.OnHostTallies(IncarnationId(heartbeat.host),
                                      heartbeat.rollout_tallies,
                                      BootClock::now());
  }
  if (heartbeat.wants_reply) {
    SendHeartbeat(heartbeat.host.peer_address, false);
    SendUsageSnapshot(heartbeat.host.peer_address);
    SendCrashes({heartbeat.host.peer_address},
                publishers_.crashes.CrashSnapshot(BootClock::now()));
    SendStatements({heartbeat.host.peer_address},
                   publishers_.statements.StatementSnapshot(BootClock::now()));
  }
}

void PeerLink::OnDomainReport(const DomainReport& report) {
  const Time now = BootClock::now();
  events_.clock().Observe(report.time, WallMicros());
  ApplyMembers(report, now);
  for (const MemberGroup& group : report.groups) {
    on_versions_(report.domain, group.versions);
  }
  publishers_.tallies.OnDomainTallies(report.domain, report.rollout_tallies,
                                      now);
  if (report.domain == hosts_.self().domain) {
    plan_.OnOwnDomainReport(now);
  } else if (report.forward_to_domain) {
    ForwardToDomain(report);
  }
}

void PeerLink::ApplyMembers(const DomainReport& report, Time now) {
  for (const HostInfo& host : report.host_infos) {
    if (host.domain == report.domain) {
      hosts_.OnInfoReported(host, now);
    }
  }
  for (const MemberGroup& group : report.groups) {
    for (const MemberObservation& member : group.members) {
      if (const HostEntry* host =
              hosts_.OnMemberReported(member, group.versions, now)) {
        events_.Record(EventCode::kPeerHeard, host->info.name,
                       "reported by " + report.domain);
      }
    }
  }
}

void PeerLink::ForwardToDomain(DomainReport report) {
  report.forward_to_domain = false;
  const std::string sealed = SealDatagram(DatagramKind::kDomainReport,
                                          EncodeDomainReport(report), key_);
  for (const std::string& address : plan_.AliveInDomain(BootClock::now())) {
    SendReport(address, sealed);
  }
}

}  // namespace pathcleat
