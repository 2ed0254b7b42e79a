// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The parts of PeerLink that exchange usage of client accounts' limits,
// requests that crash upstreams and what upstreams state in their answers.

#include <string>
#include <utility>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/peer_datagram.hpp"
#include "pathcleat/fleet/peer_link.hpp"

namespace pathcleat {

void PeerLink::PublishUsage() {
  const Time now = BootClock::now();
  SendOwnUsage(now);
  if (reporter_.IsReporter(now)) {
    SendDomainUsage(now);
  }
}

void PeerLink::SendUsage(const std::vector<std::string>& receivers,
                         UsageReport report) {
  if (report.time == HybridTime{}) {
    report.time = events_.clock().Tick(WallMicros());
  }
  for (const UsageReport& part : SplitUsage(report)) {
    const std::string sealed =
        SealDatagram(DatagramKind::kUsage, EncodeUsage(part), key_);
    for (const std::string& address : receivers) {
      traffic_.OnSent(PeerMessageKind::kUsage, sealed.size());
      Send(address, sealed);
    }
  }
}

// An empty report is sent once after a report with entries, to revoke that one.
void PeerLink::SendOwnUsage(Time now) {
  const UsageReport report = publishers_.usage.OwnUsage(now);
  const bool has_entries = !report.entries.empty();
  if (!has_entries && !std::exchange(last_usage_had_entries_, has_entries)) {
    return;
  }
  last_usage_had_entries_ = has_entries;
  SendUsage(plan_.AllInDomain(), report);
}

void PeerLink::SendDomainUsage(Time now) {
  const UsageReport report = publishers_.usage.DomainUsage(now);
  if (report.entries.empty()) {
    return;
  }
  SendUsage(reporter_.Receivers(now), report);
}

// Sends the usage of all domains to a host that has just started, which would
// otherwise get the usage one round of reports later.
void PeerLink::SendUsageSnapshot(const std::string& address) {
  for (const UsageReport& report : publishers_.usage.UsageSnapshot()) {
    SendUsage({address}, report);
  }
}

void PeerLink::OnUsageReport(const UsageReport& report) {
  events_.clock().Observe(report.time, WallMicros());
  publishers_.usage.OnUsageReport(report, BootClock::now());
  if (!report.forward_to_domain) {
    return;
  }
  UsageReport forwarded = report;
  forwarded.forward_to_domain = false;
  SendUsage(plan_.AliveInDomain(BootClock::now()), forwarded);
}

void PeerLink::PublishCrashes() {
  const Time now = BootClock::now();
  const bool reports = reporter_.IsReporter(now);
  SendCrashes(plan_.AllInDomain(),
              publishers_.crashes.OwnCrashes(reports, now));
  if (reports) {
    SendCrashes(reporter_.Receivers(now),
                publishers_.crashes.DomainCrashes(now));
  }
}

void PeerLink::SendCrashes(const std::vector<std::string>& receivers,
                           const CrashReport& report) {
  if (report.entries.empty()) {
    return;
  }
  const std::string sealed =
      SealDatagram(DatagramKind::kCrashes, EncodeCrashes(report), key_);
  for (const std::string& address : receivers) {
    traffic_.OnSent(PeerMessageKind::kCrashes, sealed.size());
    Send(address, sealed);
  }
}

void PeerLink::OnCrashReport(const CrashReport& report) {
  const Time now = BootClock::now();
  const bool has_updates = publishers_.crashes.OnCrashReport(report, now);
  if (report.forward_to_domain) {
    CrashReport forwarded = report;
    forwarded.forward_to_domain = false;
    SendCrashes(plan_.AliveInDomain(now), forwarded);
  }
  if (has_updates) {
    PublishCrashes();
  }
}

void PeerLink::PublishStatements() {
  const Time now = BootClock::now();
  SendStatements(plan_.Receivers(now),
                 publishers_.statements.OwnStatements(now));
  if (!reporter_.IsReporter(now)) {
    return;
  }
  StatementReport report = publishers_.statements.DomainStatements(now);
  SendStatements(reporter_.Receivers(now), report);
  report.forward_to_domain = false;
  SendStatements(plan_.OwnReportReceivers(now), report);
}

void PeerLink::SendStatements(const std::vector<std::string>& receivers,
                              const StatementReport& report) {
  if (report.IsEmpty()) {
    return;
  }
  const std::string sealed =
      SealDatagram(DatagramKind::kLimits, EncodeStatements(report), key_);
  for (const std::string& address : receivers) {
    traffic_.OnSent(PeerMessageKind::kLimits, sealed.size());
    Send(address, sealed);
  }
}

void PeerLink::OnStatementReport(const StatementReport& report) {
  const Time now = BootClock::now();
  publishers_.statements.OnStatementReport(report, now);
  if (report.forward_to_domain) {
    StatementReport forwarded = report;
    forwarded.forward_to_domain = false;
    SendStatements(plan_.AliveInDomain(now), forwarded);
  }
}

}  // namespace pathcleat
