// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/crashes/request_digest.hpp"

#include <criterion/criterion.h>

namespace pathcleat {
namespace {

KeyedHasher MakeHasher(std::string_view secret) {
  KeyedHasher hasher(kRequestDigestPurpose);
  hasher.SetSecret(secret);
  return hasher;
}

HttpRequest MakeRequest() {
  return {"POST",
          "/book/1?page=2",
          {{"Host", "a.example"}, {"X-Request-Id", "1"}},
          "body"};
}

Test(request_digest, repeat_with_another_id_has_the_same_digest) {
  HttpRequest repeat = MakeRequest();
  repeat.headers.back().value = "2";
  const KeyedHasher hasher = MakeHasher("secret");
  cr_assert_eq(DigestOf(MakeRequest(), "club", hasher),
               DigestOf(repeat, "club", hasher));
}

Test(request_digest, digest_depends_on_each_part_and_the_secret) {
  const KeyedHasher hasher = MakeHasher("secret");
  const RequestDigest whole = DigestOf(MakeRequest(), "club", hasher);
  HttpRequest other = MakeRequest();
  other.method = "PUT";
  cr_assert_neq(DigestOf(other, "club", hasher), whole);
  other = MakeRequest();
  other.target = "/book/1?page=3";
  cr_assert_neq(DigestOf(other, "club", hasher), whole);
  other = MakeRequest();
  other.headers.front().value = "b.example";
  cr_assert_neq(DigestOf(other, "club", hasher), whole);
  other = MakeRequest();
  other.body = "bodY";
  cr_assert_neq(DigestOf(other, "club", hasher), whole);
  cr_assert_neq(DigestOf(MakeRequest(), "clubs", hasher), whole);
  cr_assert_neq(DigestOf(MakeRequest(), "club", MakeHasher("another")), whole);
}

// Guards against two requests with the same digest that differ only in where
// one part of the request ends and the next part begins.
Test(request_digest, parts_are_separated) {
  const KeyedHasher hasher = MakeHasher("secret");
  HttpRequest moved = MakeRequest();
  moved.target += "b";
  moved.body = "ody";
  cr_assert_neq(DigestOf(moved, "", hasher),
                DigestOf(MakeRequest(), "", hasher));
}

}  // namespace
}  // namespace pathcleat
