// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/crashes/request_digest.hpp"

#include <criterion/criterion.h>

namespace pathcleat {
namespace {

KeyedHasher Digester(std::string_view secret) {
  KeyedHasher digester(kRequestDigestPurpose);
  digester.SetSecret(secret);
  return digester;
}

HttpRequest Request() {
  return {"POST",
          "/book/1?page=2",
          {{"Host", "a.example"}, {"X-Request-Id", "1"}},
          "body"};
}

Test(request_digest, repeat_under_another_id_is_the_same_request) {
  HttpRequest repeat = Request();
  repeat.headers.back().value = "2";
  const KeyedHasher digester = Digester("secret");
  cr_assert_eq(DigestOf(Request(), "club", digester),
               DigestOf(repeat, "club", digester));
}

Test(request_digest, each_part_and_the_secret_count) {
  const KeyedHasher digester = Digester("secret");
  const RequestDigest whole = DigestOf(Request(), "club", digester);
  HttpRequest other = Request();
  other.method = "PUT";
  cr_assert_neq(DigestOf(other, "club", digester), whole);
  other = Request();
  other.target = "/book/1?page=3";
  cr_assert_neq(DigestOf(other, "club", digester), whole);
  other = Request();
  other.headers.front().value = "b.example";
  cr_assert_neq(DigestOf(other, "club", digester), whole);
  other = Request();
  other.body = "bodY";
  cr_assert_neq(DigestOf(other, "club", digester), whole);
  cr_assert_neq(DigestOf(Request(), "clubs", digester), whole);
  cr_assert_neq(DigestOf(Request(), "club", Digester("another")), whole);
}

// Guards against a request that is made to look like another one by moving
// bytes from one part to the next.
Test(request_digest, parts_do_not_run_into_each_other) {
  const KeyedHasher digester = Digester("secret");
  HttpRequest moved = Request();
  moved.target += "b";
  moved.body = "ody";
  cr_assert_neq(DigestOf(moved, "", digester),
                DigestOf(Request(), "", digester));
}

}  // namespace
}  // namespace pathcleat
