// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/upstream_watch.hpp"

#include <algorithm>
#include <utility>

#include "pathcleat/host/upstream_protocol.hpp"

namespace pathcleat {
namespace {

constexpr std::chrono::milliseconds kProbeTimeout{1'000};
// One lost probe is not yet a dead upstream.
constexpr int kFailuresUntilDown = 2;
// Names that the heartbeat carries at most; see the capacity page.
constexpr std::size_t kMostListed = 32;

}  // namespace

UpstreamWatch::UpstreamWatch(Shared& shared, HostList& hosts, QObject* parent)
    : QObject(parent), shared_(shared), hosts_(hosts) {}

void UpstreamWatch::ProbeAll() {
  const Time now = BootClock::now();
  for (const OwnedUpstream& owned : shared_.owner.Owned()) {
    Probe& probe = probes_[owned.upstream];
    const SeatIndex seat = shared_.owner.SeatOf(owned.upstream);
    if (probe.running || !shared_.owner.permits().MaySend(seat, now)) {
      continue;
    }
    // An upstream without a free slot shows by its answers that it lives.
    if (const auto token = shared_.owner.AcquireForProbe(owned.upstream)) {
      Start(owned.upstream, *token);
    }
  }
}

void UpstreamWatch::Start(UpstreamIndex upstream, const SlotToken& token) {
  const Upstream& target = shared_.settings.deployment.At(upstream);
  Probe& probe = probes_[upstream];
  if (probe.connection == nullptr || !probe.connection->IsReusable()) {
    if (probe.connection != nullptr) {
      probe.connection->deleteLater();
    }
    probe.connection =
        new HttpClientConnection(target.address, target.port, {}, this);
  }
  probe.running = true;
  const Service& service = shared_.settings.deployment.At(target.service);
  probe.connection->Send(
      HealthProbe(service, target), kProbeTimeout,
      [this, upstream, token](const ClientResult& result) {
        // Released as failed: a probe's latency says nothing of work's.
        const bool unsent = result.outcome == ClientOutcome::kNotSent;
        const bool answered = result.outcome == ClientOutcome::kAnswered;
        if (unsent || answered) {
          shared_.owner.Release(token, SlotUse::kFailed, Duration::zero());
        } else {
          shared_.owner.HoldUntil(token, BootClock::now() + kProbeTimeout);
        }
        OnProbed(upstream, result);
      });
}

void UpstreamWatch::OnProbed(UpstreamIndex upstream,
                             const ClientResult& result) {
  Probe& probe = probes_[upstream];
  probe.running = false;
  const UpstreamState state = result.outcome == ClientOutcome::kAnswered
                                  ? StateFromProbe(result.response)
                                  : UpstreamState::kFailed;
  if (state == UpstreamState::kFailed) {
    if (++probe.failures >= kFailuresUntilDown) {
      shared_.owner.SetHealthy(upstream, false);
    }
    return;
  }
  probe.failures = 0;
  shared_.owner.SetHealthy(upstream, true);
  shared_.owner.SetLeaving(upstream, LeavingSource::kUpstream,
                           state == UpstreamState::kLeaving);
}

void UpstreamWatch::ReadHostList() {
  const auto candidates = shared_.members.Candidates(BootClock::now());
  reads_host_list_ =
      !candidates.empty() && candidates.front() == shared_.settings.seat;
  if (!reads_host_list_) {
    return;
  }
  hosts_.ReadHosts([this](const HostListAnswer& answer) {
    if (answer.outcome != StoreOutcome::kDone) {
      return;  // The last list known stays in force.
    }
    std::vector<UpstreamIndex> leaving;
    for (const std::string& name : answer.leaving) {
      const auto upstream = shared_.settings.deployment.FindUpstream(name);
      const bool in_domain =
          upstream && shared_.settings.deployment.At(*upstream).domain ==
                          shared_.settings.self().domain;
      if (in_domain && leaving.size() < kMostListed) {
        leaving.push_back(*upstream);
      }
    }
    OnHostList(leaving);
  });
}

void UpstreamWatch::OnHostList(const std::vector<UpstreamIndex>& leaving) {
  listed_leaving_ = leaving;
  for (const UpstreamIndex upstream : InDomain()) {
    const bool listed =
        std::find(leaving.begin(), leaving.end(), upstream) != leaving.end();
    shared_.owner.SetLeaving(upstream, LeavingSource::kHostList, listed);
  }
}

void UpstreamWatch::ApplyDrains() {
  const auto config = shared_.config.state();
  const Deployment& deployment = shared_.settings.deployment;
  const RegionIndex region = deployment.RegionOf(shared_.settings.seat);
  const bool all = config->drained_regions.contains(region);
  for (const UpstreamIndex upstream : InDomain()) {
    const bool drained = all || config->drained_upstreams.contains(upstream);
    shared_.owner.SetLeaving(upstream, LeavingSource::kOperator, drained);
  }
}

// All that this host may come to own, so that it knows who leaves before it
// takes a dead sibling's seat.
std::vector<UpstreamIndex> UpstreamWatch::InDomain() const {
  const Deployment& deployment = shared_.settings.deployment;
  std::vector<UpstreamIndex> found;
  for (const UpstreamIndex upstream :
       IndicesOf<UpstreamIndex>(deployment.upstreams)) {
    if (deployment.At(upstream).domain == shared_.settings.self().domain) {
      found.push_back(upstream);
    }
  }
  return found;
}

}  // namespace pathcleat
