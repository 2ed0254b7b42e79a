// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/token_bucket.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

// Guards against calls that use up tokens although they were not made, and
// against returned tokens that raise the bucket above its burst.
Test(token_bucket, released_tokens_can_be_acquired_again_up_to_the_burst) {
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
