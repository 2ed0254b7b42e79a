// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/host_table.hpp"

#include <algorithm>

#include "pathcleat/core/mac.hpp"
#include "pathcleat/fleet/heartbeat.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};
constexpr Duration kSilence{2'500'000};

HostInfo HostAt(const std::string& name,
                const std::string& domain,
                const std::string& region) {
  HostInfo host;
  host.name = name;
  host.incarnation = 1;
  host.domain = domain;
  host.region = region;
  host.caller_address = name;
  return host;
}

bool Has(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

Test(host_table, near_hosts_first_dead_and_leaving_ones_never) {
  HostTable table(HostAt("self", "n1", "north"), kSilence);
  table.OnHeartbeat(HostAt("near", "n1", "north"), {}, kStart);
  table.OnHeartbeat(HostAt("beside", "n2", "north"), {}, kStart);
  table.OnHeartbeat(HostAt("far", "s1", "south"), {}, kStart);
  table.OnStoreRow(HostAt("listed", "n1", "north"), kStart);
  auto found = table.Locate("north", "n1", 16, kStart);
  cr_assert_eq(found.size(), 2U);
  cr_assert(Has(found, "self") && Has(found, "near"));
  // A domain with one host is helped by its region, a region by the others.
  found = table.Locate("north", "n2", 16, kStart);
  cr_assert_str_eq(found.front().c_str(), "beside");
  cr_assert_eq(found.size(), 3U);
  found = table.Locate("south", "s1", 16, kStart);
  cr_assert_str_eq(found.front().c_str(), "far");
  cr_assert_gt(found.size(), 1U);
  HostInfo leaving = HostAt("near", "n1", "north");
  leaving.leaving = true;
  table.OnHeartbeat(leaving, {}, kStart);
  cr_assert_not(Has(table.Locate("north", "n1", 16, kStart), "near"));
  const Time later = kStart + kSilence + Duration(1);
  found = table.Locate("north", "n1", 16, later);
  cr_assert_eq(found.size(), 1U);
  cr_assert_str_eq(found.front().c_str(), "self");
}

// Guards against a host that takes all others for dead on waking, and with that
// the whole of what they share for itself.
Test(host_table, standstill_of_this_host_is_no_silence_of_others) {
  constexpr Duration kPeriod{250'000};
  HostTable table(HostAt("self", "n1", "north"), kSilence);
  table.CheckForStall(kStart);
  table.OnHeartbeat(HostAt("near", "n1", "north"), {}, kStart);
  table.CheckForStall(kStart + kPeriod);
  cr_assert_eq(table.TakeStallDuration().count(), 0);
  const Time woken = kStart + kPeriod + std::chrono::seconds(60);
  table.CheckForStall(woken);
  cr_assert_eq(table.TakeStallDuration().count(), Duration(60'000'000).count());
  cr_assert_eq(table.TakeStallDuration().count(), 0);
  cr_assert_eq(table.AliveCount(woken), 2);
  cr_assert_eq(table.LimitSharerCount(woken), 2);
  cr_assert(table.NewlySilent(woken).empty());
  // From now on it is heard, or falls silent, as ever.
  Time now = woken;
  for (; now < woken + kSilence; now += kPeriod) {
    table.CheckForStall(now);
  }
  cr_assert_eq(table.AliveCount(now), 1);
}

Test(host_table, configuration_counts_at_hosts_that_take_callers) {
  HostTable table(HostAt("self", "n1", "north"), kSilence);
  HostVersions versions;
  versions.config = 4;
  HostInfo other = HostAt("other", "n1", "north");
  table.OnHeartbeat(other, versions, kStart);
  cr_assert(table.OtherHasConfig(4, kStart));
  cr_assert_not(table.OtherHasConfig(5, kStart));
  cr_assert_not(table.OtherHasConfig(4, kStart + kSilence + Duration(1)));
  other.leaving = true;
  table.OnHeartbeat(other, versions, kStart);
  cr_assert_not(table.OtherHasConfig(4, kStart));
}

Test(host_table, older_incarnation_is_not_believed) {
  HostTable table(HostAt("self", "n1", "north"), kSilence);
  HostInfo restarted = HostAt("other", "n1", "north");
  restarted.incarnation = 5;
  table.OnHeartbeat(restarted, {}, kStart);
  HostInfo old = HostAt("other", "n1", "north");
  old.leaving = true;
  table.OnHeartbeat(old, {}, kStart);
  cr_assert_eq(table.Locate("north", "n1", 16, kStart).size(), 2U);
}

// A host restarted after its time of day was set back has a lower number.
// Seen to fail while older incarnations were never believed.
Test(host_table, restart_after_a_clock_step_is_heard_once_the_old_is_silent) {
  HostTable table(HostAt("self", "n1", "north"), kSilence);
  HostInfo before = HostAt("other", "n1", "north");
  before.incarnation = 5;
  table.OnHeartbeat(before, {}, kStart);
  const Time later = kStart + kSilence + Duration(1);
  cr_assert(table.OnHeartbeat(HostAt("other", "n1", "north"), {}, later));
  cr_assert_eq(table.Locate("north", "n1", 16, later).size(), 2U);
}

MemberObservation SignOf(const HostInfo& host, int age_ms) {
  return {IncarnationId(host), static_cast<std::uint16_t>(age_ms), false};
}

Test(host_table, report_counts_from_when_the_host_was_heard) {
  HostTable table(HostAt("self", "n1", "north"), kSilence);
  const HostInfo far = HostAt("far", "s1", "south");
  cr_assert_null(table.OnMemberReported(SignOf(far, 500), {}, kStart));
  table.OnInfoReported(far, kStart);
  cr_assert_eq(table.AliveCount(kStart), 1);
  cr_assert_not_null(table.OnMemberReported(SignOf(far, 500), {}, kStart));
  cr_assert_eq(table.AliveCount(kStart + Duration(2'000'000)), 2);
  // An older report, by a longer way, changes nothing.
  table.OnMemberReported(SignOf(far, 900), {}, kStart);
  cr_assert_eq(table.AliveCount(kStart + Duration(2'000'000)), 2);
  cr_assert_eq(table.AliveCount(kStart + Duration(2'001'000)), 1);
}

Test(host_table, report_of_a_gone_incarnation_revives_nobody) {
  HostTable table(HostAt("self", "n1", "north"), kSilence);
  HostInfo restarted = HostAt("far", "s1", "south");
  restarted.incarnation = 2;
  table.OnInfoReported(restarted, kStart);
  table.OnMemberReported(SignOf(HostAt("far", "s1", "south"), 0), {}, kStart);
  cr_assert_eq(table.AliveCount(kStart), 1);
  table.OnMemberReported(SignOf(restarted, 0), {}, kStart);
  cr_assert_eq(table.AliveCount(kStart), 2);
}

Test(heartbeat, sealed_heartbeats_are_read_and_changed_ones_are_not) {
  cr_assert(Holds("any bit that is turned is noticed", [] {
    Heartbeat heartbeat;
    heartbeat.host = HostAt("host", "domain", "region");
    heartbeat.versions.config = 7;
    const std::string sealed = AppendMac(EncodeHeartbeat(heartbeat), "key");
    const auto message = VerifyMac(sealed, "key");
    RC_ASSERT(message.has_value());
    RC_ASSERT(DecodeHeartbeat(*message)->versions.config == 7U);
    std::string changed = sealed;
    const auto at = *rc::gen::inRange<std::size_t>(0, changed.size());
    changed[at] = static_cast<char>(changed[at] ^ 1);
    RC_ASSERT(!VerifyMac(changed, "key").has_value());
    RC_ASSERT(!VerifyMac(sealed, "other key").has_value());
  }));
}

Test(heartbeat, any_bytes_are_read_or_refused) {
  cr_assert(Holds("no bytes do harm", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(-128, 127));
    DecodeHeartbeat(bytes);
  }));
}

}  // namespace
}  // namespace pathcleat
