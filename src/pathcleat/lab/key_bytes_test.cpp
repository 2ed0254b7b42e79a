// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Idempotency keys of any bytes that HTTP allows.

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

// Guards against a key that is no UTF-8 and ends the host that it reaches, and
// against keys that differ in such a byte and share a record.
Test(key_bytes, keys_that_are_not_utf8_are_accepted) {
  TestCluster cluster;
  cluster.StartAll();
  const CallResult first = cluster.Post(0, "a", "p\xE5melding-17");
  cr_assert_eq(first.response.status, http_status::kOk);
  const CallResult other = cluster.Post(0, "b", "p\xE4melding-17");
  cr_assert_eq(other.response.status, http_status::kOk);
  cr_assert_eq(cluster.RunsOf("b"), 1);
  cluster.Post(0, "a", "p\xE5melding-17");
  cr_assert_eq(cluster.RunsOf("a"), 1);
}

Test(key_bytes, keys_with_control_characters_are_refused) {
  TestCluster cluster;
  cluster.StartAll();
  const CallResult result = cluster.Post(0, "a", "key\t17");
  cr_assert_eq(result.response.status, http_status::kBadRequest);
  cr_assert_eq(cluster.RunsOf("a"), 0);
}

}  // namespace
}  // namespace pathcleat
