// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Decides whether this host may send a request to an upstream.

#include "pathcleat/routing/upstream_table.hpp"

namespace pathcleat {

const char* ToText(SendBlock block) {
  switch (block) {
    case SendBlock::kNone:
      return "it may be sent";
    case SendBlock::kClosed:
      return "the upstream accepts no new requests any more";
    case SendBlock::kLeaving:
      return "the upstream has announced that it leaves";
    case SendBlock::kVersionNotOpen:
      return "the upstream's version is not in use yet";
    case SendBlock::kBackoff:
      return "the upstream has asked for time without requests";
    case SendBlock::kRateShare:
      return "this host's share of the upstream's rate is used up";
  }
  return "";
}

SendBlock UpstreamTable::LastingBlockOf(const UpstreamState& upstream) const {
  if (upstream.removed || upstream.info.leaving ||
      drained_domains_.contains(upstream.info.domain) ||
      drained_upstreams_.contains(upstream.info.id) ||
      drained_regions_.contains(upstream.region)) {
    return SendBlock::kClosed;
  }
  return upstream.announced_leaving ? SendBlock::kLeaving : SendBlock::kNone;
}

SendBlock UpstreamTable::BlockOf(const UpstreamState& upstream,
                                 const SendReservation& held,
                                 Time now) const {
  const SendBlock lasting = LastingBlockOf(upstream);
  if (lasting != SendBlock::kNone) {
    return lasting;
  }
  if (now < upstream.open_from) {
    return SendBlock::kVersionNotOpen;
  }
  const bool backs_off = held.trial ? upstream.backoff.IsInForce(now)
                                    : !upstream.backoff.MaySend(now);
  if (backs_off) {
    return SendBlock::kBackoff;
  }
  const bool has_share = held.rate_share || !upstream.IsRateBounded(now) ||
                         upstream.rate_share.CanAcquire(now);
  return has_share ? SendBlock::kNone : SendBlock::kRateShare;
}

SendBlock UpstreamTable::Reserve(UpstreamState& upstream,
                                 SendReservation& held,
                                 Time now) const {
  const SendBlock block = BlockOf(upstream, held, now);
  if (block != SendBlock::kNone) {
    return block;
  }
  if (!held.rate_share && upstream.IsRateBounded(now)) {
    held.rate_share = upstream.rate_share.TryAcquire(now);
  }
  held.trial = held.trial || upstream.backoff.OnSent(now);
  return SendBlock::kNone;
}

void UpstreamTable::Release(UpstreamState& upstream,
                            SendReservation& held,
                            bool was_sent,
                            Time now) const {
  if (held.rate_share && !was_sent) {
    upstream.rate_share.Release(now);
  }
  if (held.trial) {
    upstream.backoff.OnTrialEnded();
  }
  held = {};
}

bool UpstreamTable::StartBackoff(const UpstreamPtr& upstream,
                                 Duration delay,
                                 double spread,
                                 Time now) {
  const bool extended = upstream->backoff.Start(delay, spread, now);
  if (!upstream->is_backing_off) {
    upstream->is_backing_off = true;
    backing_off_.push_back(upstream);
    ++revision_;
  }
  return extended;
}

std::vector<UpstreamPtr> UpstreamTable::EndBackoffs(Time now) {
  std::vector<UpstreamPtr> ended;
  std::erase_if(backing_off_, [&ended, now](const UpstreamPtr& upstream) {
    upstream->is_backing_off =
        !upstream->removed && upstream->backoff.IsInForce(now);
    if (!upstream->is_backing_off && !upstream->removed) {
      ended.push_back(upstream);
    }
    return !upstream->is_backing_off;
  });
  revision_ += ended.empty() ? 0 : 1;
  leaving_ledger_.DropExpired(
      [this](const std::string& id) { return by_id_.contains(id); }, now);
  return ended;
}

bool UpstreamTable::UpdateLeaving(const std::string& id,
                                  const LeavingStatement& statement) {
  if (!leaving_ledger_.Add(id, statement)) {
    return false;
  }
  const UpstreamPtr upstream = Find(id);
  if (!upstream) {
    return false;
  }
  const bool leaves = leaving_ledger_.IsLeaving(id, upstream->info.started_ms);
  if (upstream->announced_leaving == leaves) {
    return false;
  }
  upstream->announced_leaving = leaves;
  ++revision_;
  return true;
}

}  // namespace pathcleat
