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
#include "pathcleat/crashes/crash_report.hpp"
#include "pathcleat/fleet/domain_report.hpp"
#include "pathcleat/fleet/domain_reporter.hpp"
#include "pathcleat/fleet/heartbeat.hpp"
#include "pathcleat/fleet/heartbeat_plan.hpp"
#include "pathcleat/fleet/host_table.hpp"
#include "pathcleat/fleet/peer_traffic.hpp"
#include "pathcleat/routing/limit_report.hpp"

namespace pathcleat {

/// @brief Who decides what hosts tell each other beside signs of life.
/// @ingroup fleet
struct PeerPublishers {
  UsagePublisher& usage;    ///< of client accounts, in messages of their own
  TallyPublisher& tallies;  ///< of rollouts, in heartbeats and reports
  CrashPublisher& crashes;  ///< of requests that crash upstreams, as usage
  LimitPublisher& limits;   ///< that upstreams name, as usage
};

/// @brief Sends this host's heartbeats to the others of its failure domain,
/// takes theirs, and exchanges reports with the other domains.
/// @ingroup fleet
class PeerLink {
 public:
  /// @param traffic where the bytes are counted.
  /// @param versions tells how far this host has come.
  /// @param on_versions told how far others have come, each time that they
  /// are heard or reported, with the name of the host or failure domain.
  PeerLink(
      boost::asio::io_context& loop,
      HostTable& hosts,
      EventLog& events,
      PeerTraffic& traffic,
      const PeerPublishers& tellers,
      std::function<HostVersions()> versions,
      std::function<void(const std::string&, const HostVersions&)> on_versions);

  Result<void> Open(const std::string& address, std::uint16_t port);

  /// @brief The key that seals messages. Without it none is sent or taken.
  void SetKey(const std::string& key) { key_ = key; }

  /// @brief Sends to the own domain now, asking for a reply, and to a host of
  /// each other domain: after a start.
  void Announce();

  /// @brief Sends to the own domain now: after a change that it should know.
  /// Other domains are told by the next report.
  void PublishHeartbeat();

  /// @brief Tells now what this host takes of client accounts' limits, and, if
  /// it reports for its domain, what the domain takes.
  void PublishUsage();

  /// @brief Tells what has just become known of requests that crash upstreams.
  void PublishCrashes();

  /// @brief Tells what answers have told of late of upstreams' limits.
  void PublishLimits();

 private:
  void Tick();
  void Receive();
  void OnDatagram(std::size_t size);
  void OnHeartbeat(const Heartbeat& heartbeat);
  void OnDomainReport(const DomainReport& report);
  void TakeMembers(const DomainReport& report, Time now);
  void PassOn(DomainReport report);
  void Beat(const std::vector<std::string>& receivers, bool wants_reply);
  void SendReports();
  void SendRound(const std::vector<DomainReport>& reports,
                 const std::vector<std::string>& receivers);
  std::string SealHeartbeat(bool wants_reply);
  void SendSealed(const std::string& address, const std::string& heartbeat);
  void SendHeartbeat(const std::string& address, bool wants_reply);
  void SendReport(const std::string& address, const std::string& sealed);
  void OnUsageReport(const UsageReport& report);
  void SendOwnUsage(Time now);
  void SendDomainUsage(Time now);
  void SendKnownUsage(const std::string& address);
  std::string SealUsage(UsageReport report);
  void SendUsage(const std::string& address, const std::string& sealed);
  void OnCrashReport(const CrashReport& report);
  void SendCrashes(const std::vector<std::string>& receivers,
                   const CrashReport& report);
  void OnLimitReport(const LimitReport& report);
  void SendLimits(const std::vector<std::string>& receivers,
                  const LimitReport& report);
  void Send(const std::string& address, const std::string& sealed);

  HostTable& hosts_;
  DomainReporter reporter_;
  HeartbeatPlan plan_;
  EventLog& events_;
  PeerTraffic& traffic_;
  PeerPublishers tellers_;
  std::function<HostVersions()> versions_;
  std::function<void(const std::string&, const HostVersions&)> on_versions_;
  std::string key_;
  bool told_usage_ = false;  ///< the last report on accounts named some
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 8192> buffer_{};
};

}  // namespace pathcleat
