// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// What a host exchanges with others beside signs of life: the use of client
// accounts' limits, requests that crash upstreams, limits that upstreams name.

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

std::string PeerLink::SealUsage(UsageReport report) {
  if (report.time == HybridTime{}) {
    report.time = events_.clock().Tick(WallMicros());
  }
  return SealDatagram(DatagramKind::kUsage, EncodeUsage(report), key_);
}

void PeerLink::SendUsage(const std::string& address,
                         const std::string& sealed) {
  traffic_.OnSent(PeerMessageKind::kUsage, sealed.size());
  Send(address, sealed);
}

// A report that names nothing is sent once, to take the last one back.
void PeerLink::SendOwnUsage(Time now) {
  const UsageReport report = tellers_.usage.OwnUsage(now);
  const bool tells = !report.entries.empty();
  if (!tells && !std::exchange(told_usage_, tells)) {
    return;
  }
  told_usage_ = tells;
  const std::string sealed = SealUsage(report);
  for (const std::string& address : plan_.AllInDomain()) {
    SendUsage(address, sealed);
  }
}

void PeerLink::SendDomainUsage(Time now) {
  const UsageReport report = tellers_.usage.DomainUsage(now);
  if (report.entries.empty()) {
    return;
  }
  const std::string sealed = SealUsage(report);
  for (const std::string& address : reporter_.Receivers(now)) {
    SendUsage(address, sealed);
  }
}

// A host that has just started would else know of other domains' usage a round
// of reports later.
void PeerLink::SendKnownUsage(const std::string& address) {
  for (const UsageReport& report : tellers_.usage.UsageSnapshot()) {
    SendUsage(address, SealUsage(report));
  }
}

void PeerLink::OnUsageReport(const UsageReport& report) {
  events_.clock().Observe(report.time, WallMicros());
  tellers_.usage.OnUsageReport(report, BootClock::now());
  if (!report.forward_to_domain) {
    return;
  }
  UsageReport passed = report;
  passed.forward_to_domain = false;
  const std::string sealed = SealUsage(passed);
  for (const std::string& address : plan_.AliveInDomain(BootClock::now())) {
    SendUsage(address, sealed);
  }
}

void PeerLink::PublishCrashes() {
  const Time now = BootClock::now();
  const bool reports = reporter_.IsReporter(now);
  SendCrashes(plan_.AllInDomain(), tellers_.crashes.OwnCrashes(reports, now));
  if (reports) {
    SendCrashes(reporter_.Receivers(now), tellers_.crashes.DomainCrashes(now));
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
  const bool news = tellers_.crashes.OnCrashReport(report, now);
  if (report.forward_to_domain) {
    CrashReport passed = report;
    passed.forward_to_domain = false;
    SendCrashes(plan_.AliveInDomain(now), passed);
  }
  if (news) {
    PublishCrashes();
  }
}

void PeerLink::PublishLimits() {
  const Time now = BootClock::now();
  SendLimits(plan_.Receivers(now), tellers_.limits.OwnLimits(now));
  if (!reporter_.IsReporter(now)) {
    return;
  }
  LimitReport report = tellers_.limits.DomainLimits(now);
  SendLimits(reporter_.Receivers(now), report);
  report.forward_to_domain = false;
  SendLimits(plan_.OwnReportReceivers(now), report);
}

void PeerLink::SendLimits(const std::vector<std::string>& receivers,
                          const LimitReport& report) {
  if (report.entries.empty()) {
    return;
  }
  const std::string sealed =
      SealDatagram(DatagramKind::kLimits, EncodeLimits(report), key_);
  for (const std::string& address : receivers) {
    traffic_.OnSent(PeerMessageKind::kLimits, sealed.size());
    Send(address, sealed);
  }
}

void PeerLink::OnLimitReport(const LimitReport& report) {
  const Time now = BootClock::now();
  tellers_.limits.OnLimitReport(report, now);
  if (report.forward_to_domain) {
    LimitReport passed = report;
    passed.forward_to_domain = false;
    SendLimits(plan_.AliveInDomain(now), passed);
  }
}

}  // namespace pathcleat
