// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The metrics page of a host, as monitoring systems read it.

#include "test_cluster.hpp"

#include <set>
#include <sstream>

namespace pathcleat {
namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

Test(metrics, page_counts_requests_refusals_and_calls_to_the_store) {
  TestCluster cluster;
  cluster.StartAll();
  cluster.Get(0, "r1");
  cluster.Get(0, "r2");
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.RejectRequests(true); });
  cluster.Post(0, "r3");
  const std::string page = cluster.FetchMetrics(0).response.body.str();
  cr_assert(Contains(page,
                     "pathcleat_requests_total{route=\"read\",outcome="
                     "\"answered\"} 2\n"));
  cr_assert(Contains(page,
                     "pathcleat_requests_total{route=\"write\",outcome="
                     "\"not-run\"} 1\n"));
  cr_assert(Contains(page,
                     "pathcleat_request_duration_seconds_count{route="
                     "\"read\"} 2\n"));
  cr_assert(
      Contains(page, "pathcleat_refusals_total{reason=\"no_upstream\"} 1\n"));
  cr_assert(Contains(page, "pathcleat_config_version 1\n"));
  cr_assert(Contains(page, "pathcleat_hosts_alive 2\n"));
  cr_assert(Contains(page, "pathcleat_store_calls_total{call="));
  cr_assert(Contains(page, "pathcleat_upstreams{state=\"listed\"} 2\n"));
}

// Monitoring systems reject a page that names a metric family twice or has a
// sample without the TYPE line of its family before it.
Test(metrics, page_has_each_family_once_before_its_samples) {
  TestCluster cluster;
  cluster.StartAll();
  cluster.Get(0, "r1");
  std::istringstream page(cluster.FetchMetrics(0).response.body.str());
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
