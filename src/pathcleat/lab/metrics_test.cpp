// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// What monitoring systems read of a host.

#include "test_cluster.hpp"

#include <set>
#include <sstream>

namespace pathcleat {
namespace {

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

Test(metrics, page_counts_requests_refusals_and_calls_to_the_store) {
  TestCluster world;
  world.StartAll();
  world.Get(0, "r1");
  world.Get(0, "r2");
  world.ForEachUpstream([](UpstreamStandIn& u) { u.RejectRequests(true); });
  world.Post(0, "r3");
  const std::string page = world.FetchMetrics(0).response.body;
  cr_assert(Has(page,
                "pathcleat_requests_total{route=\"read\",outcome="
                "\"answered\"} 2\n"));
  cr_assert(Has(page,
                "pathcleat_requests_total{route=\"write\",outcome="
                "\"not-run\"} 1\n"));
  cr_assert(Has(page,
                "pathcleat_request_duration_seconds_count{route="
                "\"read\"} 2\n"));
  cr_assert(Has(page, "pathcleat_refusals_total{reason=\"no_upstream\"} 1\n"));
  cr_assert(Has(page, "pathcleat_config_version 1\n"));
  cr_assert(Has(page, "pathcleat_hosts_alive 2\n"));
  cr_assert(Has(page, "pathcleat_store_calls_total{call="));
  cr_assert(Has(page, "pathcleat_upstreams{state=\"listed\"} 2\n"));
}

// Each sample belongs to a family that was named before it, and to one only.
Test(metrics, page_names_each_family_once_before_its_samples) {
  TestCluster world;
  world.StartAll();
  world.Get(0, "r1");
  std::istringstream page(world.FetchMetrics(0).response.body);
  std::set<std::string> families;
  std::string family;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("# TYPE ")) {
      std::istringstream words(line);
      std::string skipped;
      words >> skipped >> skipped >> family;
      cr_assert(families.insert(family).second, "%s", family.c_str());
    } else if (!line.starts_with("#")) {
      cr_assert(line.starts_with(family), "%s", line.c_str());
    }
  }
  cr_assert_gt(families.size(), 15U);
}

}  // namespace
}  // namespace pathcleat
