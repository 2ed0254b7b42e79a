// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/host_table.hpp"

#include <algorithm>

#include "pathcleat/core/mac.hpp"
#include "pathcleat/fleet/heartbeat.hpp"
#include "pathcleat/fleet/locate_directory.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};
constexpr Duration kHeartbeatTimeout{2'500'000};

HostInfo MakeHost(const std::string& name,
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

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::vector<std::string> Locate(const HostTable& table,
                                const std::string& region,
                                const std::string& domain,
                                std::size_t max_count,
                                Time now) {
  return LocateDirectory(table).Find({region, domain, "192.0.2.7"}, max_count,
                                     now);
}

// Guards against callers who are sent to a host that reaches no upstream while
// its region has others, or out of their region while it has none.
Test(host_table, isolated_hosts_are_named_only_where_others_are_few) {
  HostTable table(MakeHost("self", "n1", "north"), kHeartbeatTimeout);
  HostInfo cut = MakeHost("cut", "n1", "north");
  cut.isolated = true;
  table.OnHeartbeat(cut, {}, kStart);
  table.OnHeartbeat(MakeHost("far", "s1", "south"), {}, kStart);
  auto found = Locate(table, "north", "n1", 16, kStart);
  cr_assert(Contains(found, "cut") && Contains(found, "self"));
  cr_assert_not(Contains(found, "far"));
  table.OnHeartbeat(MakeHost("beside", "n2", "north"), {}, kStart);
  found = Locate(table, "north", "n1", 16, kStart);
  cr_assert_not(Contains(found, "cut"));
  cr_assert_eq(found.size(), 2U);
}

Test(host_table, near_hosts_come_first_dead_and_leaving_hosts_never) {
  HostTable table(MakeHost("self", "n1", "north"), kHeartbeatTimeout);
  table.OnHeartbeat(MakeHost("near", "n1", "north"), {}, kStart);
  table.OnHeartbeat(MakeHost("beside", "n2", "north"), {}, kStart);
  table.OnHeartbeat(MakeHost("far", "s1", "south"), {}, kStart);
  table.OnStoreRow(MakeHost("listed", "n1", "north"), kStart);
  auto found = Locate(table, "north", "n1", 16, kStart);
  cr_assert_eq(found.size(), 2U);
  cr_assert(Contains(found, "self") && Contains(found, "near"));
  // Addresses for a domain with one host include hosts of its region, and those
  // for a region with one host include hosts of other regions.
  found = Locate(table, "north", "n2", 16, kStart);
  cr_assert_str_eq(found.front().c_str(), "beside");
  cr_assert_eq(found.size(), 3U);
  found = Locate(table, "south", "s1", 16, kStart);
  cr_assert_str_eq(found.front().c_str(), "far");
  cr_assert_gt(found.size(), 1U);
  HostInfo leaving = MakeHost("near", "n1", "north");
  leaving.leaving = true;
  table.OnHeartbeat(leaving, {}, kStart);
  cr_assert_not(Contains(Locate(table, "north", "n1", 16, kStart), "near"));
  const Time later = kStart + kHeartbeatTimeout + Duration(1);
  found = Locate(table, "north", "n1", 16, later);
  cr_assert_eq(found.size(), 1U);
  cr_assert_str_eq(found.front().c_str(), "self");
}

// Guards against a host that considers all other hosts dead after it was
// suspended, and then uses their shares of all limits itself.
Test(host_table, stall_of_this_host_does_not_time_out_others) {
  constexpr Duration kCheckInterval{250'000};
  HostTable table(MakeHost("self", "n1", "north"), kHeartbeatTimeout);
  table.CheckForStall(kStart);
  table.OnHeartbeat(MakeHost("near", "n1", "north"), {}, kStart);
  table.CheckForStall(kStart + kCheckInterval);
  cr_assert_eq(table.TakeStallDuration().count(), 0);
  const Time stall_end = kStart + kCheckInterval + std::chrono::seconds(60);
  table.CheckForStall(stall_end);
  cr_assert_eq(table.TakeStallDuration().count(), Duration(60'000'000).count());
  cr_assert_eq(table.TakeStallDuration().count(), 0);
  cr_assert_eq(table.AliveCount(stall_end), 2);
  cr_assert_eq(table.LimitSharerCount(stall_end), 2);
  cr_assert(table.TakeTimedOutHosts(stall_end).empty());
  // After the stall, the heartbeat timeout applies as before.
  Time now = stall_end;
  for (; now < stall_end + kHeartbeatTimeout; now += kCheckInterval) {
    table.CheckForStall(now);
  }
  cr_assert_eq(table.AliveCount(now), 1);
}

Test(host_table, configuration_counts_at_hosts_that_accept_callers) {
  HostTable table(MakeHost("self", "n1", "north"), kHeartbeatTimeout);
  HostVersions versions;
  versions.config = 4;
  HostInfo other = MakeHost("other", "n1", "north");
  table.OnHeartbeat(other, versions, kStart);
  cr_assert(table.OtherHasConfig(4, kStart));
  cr_assert_not(table.OtherHasConfig(5, kStart));
  cr_assert_not(
      table.OtherHasConfig(4, kStart + kHeartbeatTimeout + Duration(1)));
  other.leaving = true;
  table.OnHeartbeat(other, versions, kStart);
  cr_assert_not(table.OtherHasConfig(4, kStart));
}

Test(host_table, older_incarnation_is_ignored) {
  HostTable table(MakeHost("self", "n1", "north"), kHeartbeatTimeout);
  HostInfo restarted = MakeHost("other", "n1", "north");
  restarted.incarnation = 5;
  table.OnHeartbeat(restarted, {}, kStart);
  HostInfo old = MakeHost("other", "n1", "north");
  old.leaving = true;
  table.OnHeartbeat(old, {}, kStart);
  cr_assert_eq(Locate(table, "north", "n1", 16, kStart).size(), 2U);
}

// A host that is restarted after its clock was set back has a lower incarnation
// number. Fails if lower incarnation numbers are always ignored.
Test(host_table, restart_after_clock_step_counts_once_old_one_timed_out) {
  HostTable table(MakeHost("self", "n1", "north"), kHeartbeatTimeout);
  HostInfo before = MakeHost("other", "n1", "north");
  before.incarnation = 5;
  table.OnHeartbeat(before, {}, kStart);
  const Time later = kStart + kHeartbeatTimeout + Duration(1);
  cr_assert(table.OnHeartbeat(MakeHost("other", "n1", "north"), {}, later));
  cr_assert_eq(Locate(table, "north", "n1", 16, later).size(), 2U);
}

MemberObservation MakeObservation(const HostInfo& host, int age_ms) {
  return {IncarnationId(host), static_cast<std::uint16_t>(age_ms), false};
}

Test(host_table, reported_host_is_alive_from_the_time_of_its_heartbeat) {
  HostTable table(MakeHost("self", "n1", "north"), kHeartbeatTimeout);
  const HostInfo far = MakeHost("far", "s1", "south");
  cr_assert_null(table.OnMemberReported(MakeObservation(far, 500), {}, kStart));
  table.OnInfoReported(far, kStart);
  cr_assert_eq(table.AliveCount(kStart), 1);
  cr_assert_not_null(
      table.OnMemberReported(MakeObservation(far, 500), {}, kStart));
  cr_assert_eq(table.AliveCount(kStart + Duration(2'000'000)), 2);
  // An observation of an earlier heartbeat changes nothing.
  table.OnMemberReported(MakeObservation(far, 900), {}, kStart);
  cr_assert_eq(table.AliveCount(kStart + Duration(2'000'000)), 2);
  cr_assert_eq(table.AliveCount(kStart + Duration(2'001'000)), 1);
}

// Guards against load steps and capacities of other failure domains that are
// not used: reports and the rows of the store are all that tell them.
Test(host_table, reported_load_step_and_later_capacity_are_kept) {
  HostTable table(MakeHost("self", "n1", "north"), kHeartbeatTimeout);
  HostInfo far = MakeHost("far", "s1", "south");
  table.OnInfoReported(far, kStart);
  MemberObservation observation = MakeObservation(far, 0);
  observation.load_step = 2;
  table.OnMemberReported(observation, {}, kStart);
  cr_assert_eq(table.Others().front()->info.load_step, 2);
  cr_assert_not(table.Others().front()->info.capacity.IsStated());
  // The first record came through a host of an older version.
  far.capacity.cpu_cores = 0.5;
  table.OnInfoReported(far, kStart);
  cr_assert_float_eq(table.Others().front()->info.capacity.cpu_cores, 0.5,
                     1e-9);
  cr_assert_eq(table.Others().front()->info.load_step, 2);
}

// Guards against answers that name hosts long after these died or left.
Test(locate_directory, answers_follow_the_host_table_within_a_quarter_second) {
  HostTable table(MakeHost("self", "n1", "north"), kHeartbeatTimeout);
  LocateDirectory directory(table);
  HostInfo other = MakeHost("other", "n1", "north");
  table.OnHeartbeat(other, {}, kStart);
  const LocateQuery query{"north", "n1", "192.0.2.7"};
  cr_assert_eq(directory.Find(query, 16, kStart).size(), 2U);
  other.leaving = true;
  table.OnHeartbeat(other, {}, kStart);
  const Time later = kStart + Duration(250'000);
  cr_assert_not(Contains(directory.Find(query, 16, later), "other"));
  // A host knows of its own planned stop at once.
  table.OnHeartbeat(MakeHost("third", "n1", "north"), {}, later);
  table.SetLeaving();
  cr_assert_not(Contains(directory.Find(query, 16, later), "self"));
}

// Guards against memory that grows with the texts that callers send.
Test(locate_directory, any_names_in_questions_are_answered) {
  HostTable table(MakeHost("self", "n1", "north"), kHeartbeatTimeout);
  LocateDirectory directory(table);
  for (int i = 0; i < 1'000; ++i) {
    const std::string name = std::to_string(i);
    cr_assert_eq(directory.Find({name, name, name}, 16, kStart).size(), 1U);
  }
  cr_assert_leq(directory.choice_count(), 64U);
}

Test(host_table, report_of_an_old_incarnation_makes_no_host_alive) {
  HostTable table(MakeHost("self", "n1", "north"), kHeartbeatTimeout);
  HostInfo restarted = MakeHost("far", "s1", "south");
  restarted.incarnation = 2;
  table.OnInfoReported(restarted, kStart);
  table.OnMemberReported(MakeObservation(MakeHost("far", "s1", "south"), 0), {},
                         kStart);
  cr_assert_eq(table.AliveCount(kStart), 1);
  table.OnMemberReported(MakeObservation(restarted, 0), {}, kStart);
  cr_assert_eq(table.AliveCount(kStart), 2);
}

Test(heartbeat, authentic_heartbeats_are_decoded_changed_ones_rejected) {
  cr_assert(Holds("every flipped bit is detected", [] {
    Heartbeat heartbeat;
    heartbeat.host = MakeHost("host", "domain", "region");
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

Test(heartbeat, any_bytes_are_decoded_or_rejected) {
  cr_assert(Holds("decoding arbitrary bytes never crashes", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(-128, 127));
    DecodeHeartbeat(bytes);
  }));
}

// Guards against load steps in a fleet whose hosts are all alike, where callers
// were to be spread evenly.
Test(host_table, only_hosts_of_another_capacity_are_unlike) {
  HostInfo self;
  self.name = "a";
  self.link_mbps = 10;
  self.capacity.cpu_cores = 0.1;
  HostTable table(self, kHeartbeatTimeout);
  HostInfo other = self;
  other.name = "b";
  table.OnStoreRow(other, kStart);
  cr_assert_not(table.HasUnlikeHosts());
  other.name = "c";
  other.capacity.cpu_cores = 0.5;
  table.OnStoreRow(other, kStart);
  cr_assert(table.HasUnlikeHosts());
}

}  // namespace
}  // namespace pathcleat
