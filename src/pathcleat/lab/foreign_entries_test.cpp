// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Invalid entries of the upstream list, made by another writer, and upstreams
// that restart under the same id.

#include "decode.hpp"
#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr const char* kValidRow =
    R"({"Service":"s","Address":"127.0.0.1:9","failure_domain":"domain-0",)"
    R"("Version":"v1","Slots":2,"State":"ready","ColdRemaining":0,)"
    R"("Sequence":1,"born":1764736000000})";

bool DecodesToUpstream(const std::string& value) {
  const KeyedHasher hasher;
  return std::holds_alternative<UpstreamInfo>(platform::DecodeRow(
      SourceTopic::kUpstreams, hasher, "i-1", false, value));
}

std::string Replaced(const std::string& from, const std::string& to) {
  std::string value = kValidRow;
  return value.replace(value.find(from), from.size(), to);
}

Test(foreign_entries, invalid_rows_decode_to_no_upstream) {
  cr_assert(DecodesToUpstream(kValidRow));
  const std::vector<std::string> invalid = {
      "",
      "\xff\xfe",
      "[]",
      "{}",
      "null",
      Replaced(R"("Service":"s",)", ""),
      Replaced(R"("Service":"s")", R"("Service":7)"),
      Replaced(R"("Address":"127.0.0.1:9",)", ""),
      Replaced("127.0.0.1:9", "nowhere"),
      Replaced(R"("failure_domain":"domain-0",)", ""),
      Replaced(R"("Version":"v1")", R"("Version":{})"),
      Replaced(R"("Slots":2,)", ""),
      Replaced(R"("Slots":2)", R"("Slots":"2")"),
      Replaced(R"("Slots":2)", R"("Slots":2.5)"),
      Replaced(R"("Slots":2)", R"("Slots":-2)"),
      Replaced(R"("State":"ready",)", ""),
      Replaced(R"("ready")", R"("resting")"),
      Replaced(R"("ColdRemaining":0)", R"("ColdRemaining":"soon")"),
      Replaced("1764736000000", "1764736000000.5"),
      Replaced("1764736000000", "\"now\""),
  };
  for (const std::string& value : invalid) {
    cr_assert_not(DecodesToUpstream(value), "%s", value.c_str());
  }
}

bool IsListed(TestCluster& cluster, const std::string& id) {
  for (const UpstreamPtr& upstream : cluster.host(0).state().upstreams.All()) {
    if (upstream->info.id == id) {
      return true;
    }
  }
  return false;
}

// Fails if FleetSync::OnUpstreams does not remove the upstream.
Test(foreign_entries, invalid_row_removes_its_upstream_only) {
  TestCluster cluster;
  cluster.StartAll();
  const std::string id = cluster.upstream_info(0).id;
  cr_assert(IsListed(cluster, id));
  cluster.platform().PutRaw("servers", id, "\xff\xfe");
  cr_assert(cluster.Await([&] { return !IsListed(cluster, id); }));
  cr_assert(cluster.HasEvent(0, EventCode::kSettingsFault));
  cr_assert_eq(cluster.Get(0, "r1").response.status, http_status::kOk);
  cr_assert_eq(cluster.upstream(0).ledger().runs, 0);
  cluster.platform().PutUpstream(cluster.upstream_info(0));
  cr_assert(cluster.Await([&] { return IsListed(cluster, id); }));
}

Test(foreign_entries, upstream_of_an_unknown_failure_domain_is_ignored) {
  TestCluster cluster;
  UpstreamInfo unlisted_domain = cluster.upstream_info(0);
  unlisted_domain.id = "stray";
  unlisted_domain.domain = "elsewhere";
  cluster.platform().PutUpstream(unlisted_domain);
  cluster.StartAll();
  cr_assert_not(IsListed(cluster, "stray"));
}

// Fails if UpstreamTable::Put does not remove the earlier entry.
Test(foreign_entries, restarted_upstream_keeps_no_state) {
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
