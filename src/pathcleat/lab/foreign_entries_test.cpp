// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Entries of the list that another writer made, and upstreams that start again
// under their id.

#include "decode.hpp"
#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr const char* kSound =
    R"({"Service":"s","Address":"127.0.0.1:9","failure_domain":"domain-0",)"
    R"("Version":"v1","Slots":2,"State":"ready","ColdRemaining":0,)"
    R"("Sequence":1,"born":1764736000000})";

bool IsUpstream(const std::string& value) {
  const KeyedHasher digester;
  return std::holds_alternative<UpstreamInfo>(platform::DecodeRow(
      SourceTopic::kUpstreams, digester, "i-1", false, value));
}

std::string With(const std::string& from, const std::string& to) {
  std::string value = kSound;
  return value.replace(value.find(from), from.size(), to);
}

Test(foreign_entries, name_no_upstream) {
  cr_assert(IsUpstream(kSound));
  const std::vector<std::string> foreign = {
      "",
      "\xff\xfe",
      "[]",
      "{}",
      "null",
      With(R"("Service":"s",)", ""),
      With(R"("Service":"s")", R"("Service":7)"),
      With(R"("Address":"127.0.0.1:9",)", ""),
      With("127.0.0.1:9", "nowhere"),
      With(R"("failure_domain":"domain-0",)", ""),
      With(R"("Version":"v1")", R"("Version":{})"),
      With(R"("Slots":2,)", ""),
      With(R"("Slots":2)", R"("Slots":"2")"),
      With(R"("Slots":2)", R"("Slots":2.5)"),
      With(R"("Slots":2)", R"("Slots":-2)"),
      With(R"("State":"ready",)", ""),
      With(R"("ready")", R"("resting")"),
      With(R"("ColdRemaining":0)", R"("ColdRemaining":"soon")"),
      With("1764736000000", "1764736000000.5"),
      With("1764736000000", "\"now\""),
  };
  for (const std::string& value : foreign) {
    cr_assert_not(IsUpstream(value), "%s", value.c_str());
  }
}

bool Lists(TestCluster& world, const std::string& id) {
  for (const UpstreamPtr& upstream : world.host(0).state().upstreams.All()) {
    if (upstream->info.id == id) {
      return true;
    }
  }
  return false;
}

// Checked to fail with the removal in FleetView::OnUpstreams switched off.
Test(foreign_entries, take_an_upstream_away_and_leave_the_others) {
  TestCluster world;
  world.StartAll();
  const std::string id = world.upstream_info(0).id;
  cr_assert(Lists(world, id));
  world.platform().PutRaw("servers", id, "\xff\xfe");
  cr_assert(world.Await([&] { return !Lists(world, id); }));
  cr_assert(world.HasEvent(0, EventCode::kSettingsFault));
  cr_assert_eq(world.Get(0, "r1").response.status, http_status::kOk);
  cr_assert_eq(world.upstream(0).ledger().runs, 0);
  world.platform().PutUpstream(world.upstream_info(0));
  cr_assert(world.Await([&] { return Lists(world, id); }));
}

Test(foreign_entries, failure_domain_that_nobody_named) {
  TestCluster world;
  UpstreamInfo stray = world.upstream_info(0);
  stray.id = "stray";
  stray.domain = "elsewhere";
  world.platform().PutUpstream(stray);
  world.StartAll();
  cr_assert_not(Lists(world, "stray"));
}

// Checked to fail with the removal in UpstreamTable::Put switched off.
Test(foreign_entries, upstream_that_started_again_knows_nothing_of_before) {
  constexpr std::uint64_t kKey = 7;
  UpstreamTable table(std::map<std::string, std::string>{{"d", "r"}});
  UpstreamInfo info;
  info.id = "i";
  info.service = "s";
  info.domain = "d";
  info.started_ms = 1;
  table.Put(info, Time());
  const UpstreamPtr before = table.ForService("s").front();
  before->keys.Touch(kKey);
  before->load.OnSent();
  cr_assert_not(table.Put(info, Time()));
  cr_assert(table.ForService("s").front()->keys.Contains(kKey));
  info.started_ms = 2;
  cr_assert(table.Put(info, Time()));
  cr_assert_eq(table.ForService("s").size(), 1U);
  const UpstreamPtr after = table.ForService("s").front();
  cr_assert_not(after->keys.Contains(kKey));
  cr_assert_eq(after->load.own_in_flight(), 0);
  cr_assert(before->removed);
}

}  // namespace
}  // namespace pathcleat
