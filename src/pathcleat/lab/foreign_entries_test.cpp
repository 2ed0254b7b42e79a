// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Invalid entries of the upstream list, made by another writer, and upstreams
// that restart under the same id.

#include "decode.hpp"
#include "pathcleat/core/base64.hpp"
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
      Replaced("1764736000000", "9007199254740993"),
      Replaced(R"("Service":"s")", R"("Service":"")"),
      Replaced(R"("Service":"s")",
               R"("Service":")" + std::string(1 << 20, 's') + '"'),
      Replaced(R"("Slots":2)", R"("Slots":0)"),
      Replaced(R"("Slots":2)", R"("Slots":4294967298)"),
      Replaced(R"("Slots":2)", R"("Slots":1e300)"),
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

// One row of a table as raw text.
std::string RawRow(const std::string& key, const std::string& rest) {
  return R"({"table":"servers","part":"","TlsKey":)" + key + rest + "}";
}

std::string Base64Value(const std::string& value) {
  return R"(,"Value":")" + ToBase64(value) + R"(","ver":$ver)";
}

struct OddRow {
  const char* name;
  std::string text;
};

std::vector<OddRow> OddRows() {
  const std::string sound = Base64Value(kValidRow);
  return {
      {"a lone surrogate in its key", RawRow(R"("a\ud800")", sound)},
      {"invalid UTF-8 in its key", RawRow("\"a\xff\xfe\"", sound)},
      {"an empty key", RawRow("\"\"", sound)},
      {"a key of 1 MB", RawRow('"' + std::string(1 << 20, 'k') + '"', sound)},
      {"a number as key", RawRow("7", sound)},
      {"no key", R"({"table":"servers","ver":$ver,"Value":""})"},
      {"a number of 400 digits as value",
       RawRow("\"a\"", ",\"ver\":$ver,\"Value\":" + std::string(400, '9'))},
      {"nesting of 1,000,000 levels",
       RawRow("\"a\"",
              ",\"ver\":$ver,\"Value\":" + std::string(1'000'000, '[') +
                  std::string(1'000'000, ']'))},
      {"a text as version", RawRow("\"a\"", R"(,"ver":"x","Value":"")")},
      {"a version beyond all",
       RawRow("\"a\"", R"(,"ver":1000000000000,"Value":"")")},
      {"a text as gone",
       RawRow("\"a\"", R"(,"ver":$ver,"Value":"","gone":"no")")},
      {"no object", "[1,2]"},
      {"a word that is no JSON", "nonsense"},
  };
}

// A row whose key could not be decoded made every host drop the whole page: no
// later configuration or upstream came into force, also after its removal.
Test(foreign_entries, odd_row_costs_itself_alone) {
  for (const OddRow& odd : OddRows()) {
    TestCluster cluster;
    cluster.platform().PutRawRow("servers", "a", odd.text);
    cluster.StartAll();
    const auto follows = [&](std::uint64_t version, const char* id) {
      RoutingConfig config = cluster.config();
      config.version = version;
      cluster.platform().PutRawRow("op", "a", odd.text);
      cluster.platform().PutConfig(config);
      UpstreamInfo upstream = cluster.upstream_info(0);
      upstream.id = id;
      cluster.platform().PutUpstream(upstream);
      const Time begin = BootClock::now();
      cr_assert(cluster.Await([&] {
        return cluster.host(0).state().routes.version() == version &&
               IsListed(cluster, id);
      }));
      cr_assert_lt((BootClock::now() - begin).count(), 3'000'000, "%s",
                   odd.name);
    };
    cr_assert(IsListed(cluster, cluster.upstream_info(0).id), "%s", odd.name);
    follows(2, "later-1");
    cluster.platform().PutRawRow("servers", "a", odd.text);
    follows(3, "later-2");
    cluster.platform().RemoveRawRow(
        "servers", "a",
        odd.text.substr(0, odd.text.size() - 1) + R"(,"gone":true})");
    follows(4, "later-3");
    cluster.platform().ForgetHistory();
    follows(5, "later-4");
    cr_assert_eq(cluster.Get(0, "r").response.status, http_status::kOk);
  }
}

// Guards against a read that ends at a page whose last rows have no readable
// key.
Test(foreign_entries, read_goes_on_past_rows_without_a_readable_key) {
  constexpr int kFullPage = 500;
  TestCluster cluster;
  for (int i = 0; i < kFullPage - 1; ++i) {
    UpstreamInfo upstream = cluster.upstream_info(0);
    upstream.id = "a" + std::to_string(i);
    cluster.platform().PutUpstream(upstream);
  }
  for (const char* sort_key : {"b1", "b2", "b3"}) {
    cluster.platform().PutRawRow("servers", sort_key,
                                 RawRow(R"("\ud800")", Base64Value(kValidRow)));
  }
  UpstreamInfo last = cluster.upstream_info(0);
  last.id = "z";
  cluster.platform().PutUpstream(last);
  cluster.StartAll();
  cr_assert(IsListed(cluster, "z"));
}

// An entry with an empty service name is no upstream of any service.
Test(foreign_entries, empty_service_name_disturbs_no_other_service) {
  TestCluster cluster;
  UpstreamInfo unnamed = cluster.upstream_info(0);
  unnamed.id = "unnamed";
  unnamed.service = "";
  cluster.platform().PutUpstream(unnamed);
  cluster.StartAll();
  cr_assert_not(IsListed(cluster, "unnamed"));
  for (int i = 0; i < 30; ++i) {
    cr_assert_eq(cluster.Get(0, "r" + std::to_string(i)).response.status,
                 http_status::kOk);
  }
}

}  // namespace
}  // namespace pathcleat
