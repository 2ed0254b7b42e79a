// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The store answers in shapes that its protocol does not have.

#include <nlohmann/json.hpp>

#include "lenient_json.hpp"
#include "test_cluster.hpp"

namespace pathcleat {
namespace {

using nlohmann::json;

// Returns a function that edits the JSON bodies of the store's answers.
template <class Edit>
platform::StandInFaults Edited(Edit edit) {
  platform::StandInFaults faults;
  faults.edit_body = [edit](const std::string& target, std::string body) {
    json answer = json::parse(body, nullptr, false);
    if (answer.is_discarded()) {
      return body;
    }
    edit(target, answer);
    return answer.dump();
  };
  return faults;
}

TableWriteResult WriteWithAnswerVersion(const json& version) {
  boost::asio::io_context loop;
  platform::PlatformStandIn store(loop, 1);
  store.SetFaults(Edited([version](const std::string&, json& answer) {
    answer["ver"] = version;
  }));
  const auto port = TryOr(
      [&]() -> Result<std::uint16_t> { return store.Listen("127.0.0.1", 0); },
      [](const Error&) -> std::uint16_t { return 0; });
  StoreCallStats stats;
  platform::PlatformOptions options;
  options.address = "127.0.0.1:" + std::to_string(port);
  options.stats = &stats;
  platform::PlatformTable table(loop, options);
  std::optional<TableWriteResult> result;
  table.Overwrite("k", "v",
                  [&](const TableWriteResult& write) { result = write; });
  cr_assert(WaitUntil(loop, [&] { return result.has_value(); }));
  const std::uint64_t unreadable = stats.unreadable_answers["/-/rows-tx"];
  cr_assert_eq(unreadable, result->outcome == StoreOutcome::kUnknown ? 1U : 0U);
  return *result;
}

// An answer whose version was a text ended the process: the reader's exception
// left the event loop. Fails with ToWriteResult reading the version unchecked.
Test(store_answers, write_answer_with_an_odd_version_is_unknown) {
  cr_assert_eq(WriteWithAnswerVersion(7).version, 7U);
  const std::vector<json> odd = {"7",           nullptr, 7.5,
                                 1e300,         -7,      true,
                                 json::array(), json(),  9007199254740993ULL};
  for (const json& version : odd) {
    cr_assert_eq(WriteWithAnswerVersion(version).outcome,
                 StoreOutcome::kUnknown, "%s", version.dump().c_str());
  }
}

struct Shape {
  const char* name;
  std::function<void(json&)> edit;
};

void EditRows(json& answer, const std::function<void(json&)>& edit) {
  if (answer.contains("Rows")) {
    std::for_each(answer["Rows"].begin(), answer["Rows"].end(), edit);
  }
}

std::vector<Shape> Shapes() {
  return {
      {"no version", [](json& a) { a.erase("ver"); }},
      {"text as version", [](json& a) { a["ver"] = "1x"; }},
      {"version beyond all", [](json& a) { a["ver"] = 1'000'000'000'000ULL; }},
      {"version 0", [](json& a) { a["ver"] = 0; }},
      {"no rows", [](json& a) { a["Rows"] = json::array(); }},
      {"null rows", [](json& a) { a["Rows"] = nullptr; }},
      {"rows as object",
       [](json& a) {
         a["Rows"] = {{"a", 1}};
       }},
      {"rows of texts",
       [](json& a) {
         a["Rows"] = {"x", 3, nullptr};
       }},
      {"row version as text",
       [](json& a) { EditRows(a, [](json& row) { row["ver"] = "x"; }); }},
      {"row version beyond all",
       [](json& a) {
         EditRows(a, [](json& row) { row["ver"] = 1'000'000'000'000ULL; });
       }},
      {"row value as number",
       [](json& a) { EditRows(a, [](json& row) { row["Value"] = 5; }); }},
      {"row key as number",
       [](json& a) { EditRows(a, [](json& row) { row["TlsKey"] = 5; }); }},
      {"text as more", [](json& a) { a["more"] = "yes"; }},
      {"a list", [](json& a) { a = json::array(); }},
      {"null", [](json& a) { a = nullptr; }},
      {"an empty object", [](json& a) { a = json::object(); }},
  };
}

bool Serves(TestCluster& cluster) {
  return cluster.host(0).IsReady() &&
         cluster.Get(0, "r").response.status == http_status::kOk;
}

// A host whose store answered without rows from its first call on took them for
// the truth and served nothing after the store was sound again. Each shape is
// kept until the host has seen it several times.
Test(store_answers, host_serves_after_any_shape_of_first_answers) {
  constexpr Duration kOddTime{1'500'000};
  constexpr Duration kMaxServeDelay{2'500'000};
  for (const Shape& shape : Shapes()) {
    TestCluster cluster;
    cluster.platform().SetFaults(
        Edited([&shape](const std::string&, json& a) { shape.edit(a); }));
    cluster.StartHost(0);
    const Time odd_until = BootClock::now() + kOddTime;
    cluster.Await([&] { return BootClock::now() >= odd_until; });
    cluster.platform().SetFaults({});
    const Time sound_at = BootClock::now();
    cr_assert(cluster.Await([&] { return cluster.host(0).IsReady(); }), "%s",
              shape.name);
    cr_assert(cluster.Await([&] { return Serves(cluster); }), "%s", shape.name);
    cr_assert_lt((BootClock::now() - sound_at).count(), kMaxServeDelay.count(),
                 "%s", shape.name);
  }
}

// A configuration hidden by odd answers has to come with the first sound ones,
// and what was in force before stays until then.
Test(store_answers, running_host_keeps_and_follows_its_configuration) {
  constexpr Duration kOddTime{1'500'000};
  for (const Shape& shape : Shapes()) {
    TestCluster cluster;
    cluster.StartHost(0);
    cr_assert(cluster.Await([&] { return cluster.host(0).IsReady(); }));
    cluster.platform().SetFaults(
        Edited([&shape](const std::string&, json& a) { shape.edit(a); }));
    RoutingConfig config = cluster.config();
    config.version = 2;
    cluster.platform().PutConfig(config);
    cluster.platform().PutUpstream(cluster.upstream_info(0));
    const Time odd_until = BootClock::now() + kOddTime;
    cluster.Await([&] { return BootClock::now() >= odd_until; });
    cr_assert_eq(cluster.Get(0, "r").response.status, http_status::kOk, "%s",
                 shape.name);
    cluster.platform().SetFaults({});
    cr_assert(cluster.Await([&] {
      return cluster.host(0).state().routes.version() == 2;
    }),
              "%s", shape.name);
  }
}

// Guards against parsing that drops a whole page for one row, and against
// recursion over deeply nested rows.
Test(store_answers, undecodable_rows_are_kept_apart) {
  const std::string deep =
      std::string(1'000'000, '[') + std::string(1'000'000, ']');
  const std::vector<std::string> odd_rows = {
      R"({"TlsKey":"\ud800","ver":2,"Value":""})",
      R"({"TlsKey":"a","ver":2,"Value":)" + std::string(400, '9') + "}",
      R"({"TlsKey":"a","ver":1e999})",
      "{\"TlsKey\":\"\xff\xfe\",\"ver\":2}",
      R"({"TlsKey":"a","ver":2,"Value":"\ud800", "x":)" + deep + "}",
      "nonsense",
      R"({"TlsKey":})",
      R"({"\ud800":1})",
      "",
  };
  for (const std::string& odd : odd_rows) {
    const json answer = platform::ParseAnswer(
        R"({"Rows":[{"TlsKey":"b","ver":1},)" + odd +
        R"(,{"TlsKey":"c","ver":3}],"more":false,"ver":3})");
    const std::string shown = odd.substr(0, 60);
    cr_assert(answer.is_object(), "%s", shown.c_str());
    cr_assert_eq(answer.at("ver").get<int>(), 3);
    cr_assert_eq(answer.at("Rows").size(), 3U, "%s", shown.c_str());
    cr_assert_eq(answer.at("Rows").at(2).at("ver").get<int>(), 3);
  }
  for (const char* text : {"", "{", "[", "\"", "{\"Rows\":[}", "{]}", "x"}) {
    cr_assert(platform::ParseAnswer(text).is_discarded(), "%s", text);
  }
}

}  // namespace
}  // namespace pathcleat
