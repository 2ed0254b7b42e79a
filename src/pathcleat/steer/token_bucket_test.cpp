// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/token_bucket.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

// Guards against calls that were never made and use up what others may make,
// and against more given back than one burst.
Test(token_bucket, what_is_given_back_can_be_taken_again_and_no_more) {
  const Time start{std::chrono::hours(1)};
  TokenBucket bucket(1, 1);
  cr_assert(bucket.TryAcquire(start));
  cr_assert_not(bucket.TryAcquire(start));
  bucket.Release(start);
  bucket.Release(start);
  cr_assert(bucket.TryAcquire(start));
  cr_assert_not(bucket.TryAcquire(start));
}

}  // namespace
}  // namespace pathcleat
