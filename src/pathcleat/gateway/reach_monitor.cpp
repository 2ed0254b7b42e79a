// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/reach_monitor.hpp"

#include <set>
#include <utility>
#include <vector>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// Four round trips between distant regions, and a retransmission.
constexpr Duration kProbeConnectTimeout{400'000};
// An upstream answers a health check once it has a free slot.
constexpr Duration kProbeTimeout{1'000'000};
constexpr const char* kDefaultHealthPath = "/health";

}  // namespace

ReachMonitor::ReachMonitor(ConnectionPool& connections,
                           EventLog& events,
                           const std::string& host,
                           const UpstreamTable& upstreams,
                           const RouteTable& routes)
    : connections_(connections),
      events_(events),
      host_(host),
      upstreams_(upstreams),
      routes_(routes) {}

ReachMonitor::~ReachMonitor() {
  for (const auto& [number, client] : in_flight_) {
    client->Cancel();
  }
}

void ReachMonitor::OnContact(Time connection_opened_at, Time now) {
  if (!reach_.IsIsolated()) {
    reach_.OnContact(connection_opened_at, now);
    return;
  }
  const ReachEvidence before = reach_.Evidence(now);
  reach_.OnContact(connection_opened_at, now);
  NotifyOnChange(true, before);
}

void ReachMonitor::OnConnectionFailed(const UpstreamInfo& upstream, Time now) {
  const bool was_isolated = reach_.IsIsolated();
  CountListed();
  reach_.OnConnectionFailed(upstream, now);
  NotifyOnChange(was_isolated, reach_.Evidence(now));
  if (!reach_.IsIsolated()) {
    SendDueProbes(now);
  }
}

void ReachMonitor::OnNoAnswer(Time sent_at, Time now) {
  if (reach_.IsIsolated() || reach_.last_contact() > sent_at) {
    return;
  }
  CountListed();
  reach_.OnSilence(now);
  SendDueProbes(now);
}

void ReachMonitor::NotifyOnChange(bool was_isolated,
                                  const ReachEvidence& evidence) {
  if (was_isolated == reach_.IsIsolated()) {
    return;
  }
  isolations_ += was_isolated ? 0 : 1;
  events_.Record(
      was_isolated ? EventCode::kHostReconnected : EventCode::kHostIsolated,
      host_, "",
      {IntegerField(field::kFailedUpstreams, evidence.failed_upstreams),
       IntegerField(field::kFailedDomains, evidence.failed_domains),
       MillisecondsField(field::kContactAgeMs, evidence.since_contact),
       IntegerField(field::kProbes, probes_)});
  if (on_change_) {
    on_change_();
  }
}

void ReachMonitor::Tick(const std::function<bool()>& has_silent_request,
                        Time now) {
  if (!reach_.IsIsolated() && now - reach_.last_contact() >= kMinSilence &&
      has_silent_request()) {
    CountListed();
    reach_.OnSilence(now);
  }
  SendDueProbes(now);
}

void ReachMonitor::CountListed() {
  if (listed_revision_ == upstreams_.revision()) {
    return;
  }
  listed_revision_ = upstreams_.revision();
  const std::vector<UpstreamPtr> all = upstreams_.All();
  std::set<std::string> domains;
  for (const UpstreamPtr& upstream : all) {
    domains.insert(upstream->info.domain);
  }
  reach_.SetListed(all.size(), domains.size());
}

std::vector<UpstreamInfo> ReachMonitor::OpenUpstreams() const {
  std::vector<UpstreamInfo> open;
  for (const UpstreamPtr& upstream : upstreams_.All()) {
    if (upstreams_.IsOpen(*upstream)) {
      open.push_back(upstream->info);
    }
  }
  return open;
}

std::uint64_t ReachMonitor::NextSalt() const {
  return MixHashes(StableHash(host_), probes_);
}

void ReachMonitor::SendDueProbes(Time now) {
  if (!reach_.IsProbeDue(now)) {
    return;
  }
  const std::vector<UpstreamInfo> open = OpenUpstreams();
  while (!open.empty() && reach_.IsProbeDue(now)) {
    Probe(reach_.ChooseProbe(open, NextSalt(), now));
  }
}

void ReachMonitor::Verify(const std::string& suspect,
                          std::function<void()> reached) {
  on_verified_.push_back(std::move(reached));
  if (verification_ != 0) {
    return;
  }
  std::vector<UpstreamInfo> open = OpenUpstreams();
  std::erase_if(open, [&suspect](const UpstreamInfo& upstream) {
    return upstream.id == suspect;
  });
  if (open.empty()) {
    FinishVerification(true);
    return;
  }
  const UpstreamInfo& other =
      reach_.ChooseProbe(open, NextSalt(), BootClock::now());
  verification_ = probes_ + 1;
  Probe(other);
}

void ReachMonitor::FinishVerification(bool reached) {
  verification_ = 0;
  for (const auto& callback : std::exchange(on_verified_, {})) {
    if (reached) {
      callback();
    }
  }
}

void ReachMonitor::Probe(const UpstreamInfo& upstream) {
  const ServiceInfo* service = routes_.FindService(upstream.service);
  const HttpRequest request{
      "GET",
      service == nullptr ? kDefaultHealthPath : service->health_path,
      {{"Host", upstream.address}, {"Connection", "close"}},
      ""};
  const std::uint64_t number = ++probes_;
  const HttpClientPtr client = connections_.Create(upstream);
  in_flight_[number] = client;
  client->Send(request, {kProbeConnectTimeout, kProbeTimeout},
               [this, number, upstream](const CallResult& result) {
                 const HttpClientPtr probe = std::move(in_flight_[number]);
                 in_flight_.erase(number);
                 OnProbeResult(upstream, *probe, result);
                 if (number == verification_) {
                   FinishVerification(result.outcome == CallOutcome::kAnswered);
                 }
               });
}

void ReachMonitor::OnProbeResult(const UpstreamInfo& upstream,
                                 const HttpClient& client,
                                 const CallResult& result) {
  const Time now = BootClock::now();
  if (result.outcome == CallOutcome::kAnswered) {
    OnContact(client.opened_at(), now);
  } else {
    OnConnectionFailed(upstream, now);
  }
}

}  // namespace pathcleat
