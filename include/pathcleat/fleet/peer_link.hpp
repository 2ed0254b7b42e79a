// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pathcleat/accounts/usage_report.hpp"
#include "pathcleat/core/error.hpp"
#include "pathcleat/core/event_log.hpp"
#include "pathcleat/core/handler_failures.hpp"
#include "pathcleat/crashes/crash_report.hpp"
#include "pathcleat/fleet/domain_report.hpp"
#include "pathcleat/fleet/domain_reporter.hpp"
#include "pathcleat/fleet/heartbeat.hpp"
#include "pathcleat/fleet/heartbeat_plan.hpp"
#include "pathcleat/fleet/host_table.hpp"
#include "pathcleat/fleet/peer_traffic.hpp"
#include "pathcleat/routing/statement_report.hpp"

namespace pathcleat {

/// @brief The objects that decide what hosts send each other besides the
/// state of hosts.
/// @ingroup fleet
struct PeerPublishers {
  UsagePublisher& usage;    ///< usage of account limits, in separate messages
  TallyPublisher& tallies;  ///< rollout tallies, in heartbeats and reports
  CrashPublisher& crashes;  ///< crashing requests, in separate messages
  StatementPublisher&
      statements;  ///< upstreams' statements, in separate messages
};

/// @brief Exchanges heartbeats with the other hosts of the failure domain and
/// reports with the other domains.
/// @ingroup fleet
class PeerLink {
 public:
  /// @param failures contains exceptions of a datagram and of periodic sends.
  /// @param traffic counts the bytes sent and received.
  /// @param versions returns the versions that this host has.
  /// @param on_versions called for each heartbeat and each group of a report,
  /// with the name of the sending host or failure domain and the versions that
  /// its hosts have.
  PeerLink(
      boost::asio::io_context& loop,
      HostTable& hosts,
      EventLog& events,
      HandlerFailures& failures,
      PeerTraffic& traffic,
      const PeerPublishers& publishers,
      std::function<HostVersions()> versions,
      std::function<void(const std::string&, const HostVersions&)> on_versions);

  /// @brief Binds the UDP socket that exchanges messages with other hosts.
  /// After a failure the socket is closed, and Bind may be called again. The
  /// error is kInUse if another socket has the port.
  Result<void> Bind(const std::string& address, std::uint16_t port);

  /// @brief Closes the socket before Start was called.
  void Close();

  /// @brief Starts to receive and to send heartbeats.
  void Start();

  /// @brief Sets the key that authenticates messages. Without a key no message
  /// is sent or accepted.
  void SetKey(const std::string& key) { key_ = key; }

  /// @brief Sends a heartbeat that requests a reply to all hosts of the own
  /// domain and to one host of each other domain. Called after a start.
  void Announce();

  /// @brief Sends a heartbeat to all hosts of the own domain at once, after a
  /// change of this host's state. Other domains get the change with the next
  /// report.
  void PublishHeartbeat();

  /// @brief Sends this host's usage of client accounts' limits to its domain
  /// and, if this host reports for its domain, the domain's usage to the other
  /// domains.
  void PublishUsage();

  /// @brief Sends new observations of requests that crash upstreams to the own
  /// domain and, if this host reports for its domain, to the other domains.
  void PublishCrashes();

  /// @brief Sends recent statements of upstreams to the hosts that receive this
  /// host's heartbeats and, if this host reports for its
  /// domain, to the other domains and to the rest of its own.
  void PublishStatements();

 private:
  void Tick();
  void SendPeriodic(Time now);
  void Receive();
  void OnDatagram(std::size_t size);
  void OnHeartbeat(const Heartbeat& heartbeat);
  void OnDomainReport(const DomainReport& report);
  void ApplyMembers(const DomainReport& report, Time now);
  void ForwardToDomain(DomainReport report);
  void SendHeartbeats(const std::vector<std::string>& receivers,
                      bool wants_reply);
  void SendReports();
  void SendReportsTo(const std::vector<DomainReport>& reports,
                     const std::vector<std::string>& receivers);
  std::string SealHeartbeat(bool wants_reply);
  void SendSealedHeartbeat(const std::string& address,
                           const std::string& heartbeat);
  void SendHeartbeat(const std::string& address, bool wants_reply);
  void SendReport(const std::string& address, const std::string& sealed);
  void OnUsageReport(const UsageReport& report);
  void SendOwnUsage(Time now);
  void SendDomainUsage(Time now);
  void SendUsageSnapshot(const std::string& address);
  void SendUsage(const std::vector<std::string>& receivers, UsageReport report);
  void OnCrashReport(const CrashReport& report);
  void SendCrashes(const std::vector<std::string>& receivers,
                   const CrashReport& report);
  void OnStatementReport(const StatementReport& report);
  void SendStatements(const std::vector<std::string>& receivers,
                      const StatementReport& report);
  void Send(const std::string& address, const std::string& sealed);

  HostTable& hosts_;
  DomainReporter reporter_;
  HeartbeatPlan plan_;
  EventLog& events_;
  HandlerFailures& failures_;
  PeerTraffic& traffic_;
  PeerPublishers publishers_;
  std::function<HostVersions()> versions_;
  std::function<void(const std::string&, const HostVersions&)> on_versions_;
  std::string key_;
  bool last_usage_had_entries_ = false;  ///< the last usage report had entries
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 8192> buffer_{};
};

}  // namespace pathcleat
