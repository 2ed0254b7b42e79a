// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace pathcleat {

/// @brief Takes all descriptors that this process may have, until it is gone or
/// gives some back. The limit stays low.
class DescriptorExhaustion {
 public:
  DescriptorExhaustion() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    constexpr rlim_t kLow = 256;
    limit.rlim_cur = std::min(limit.rlim_cur, kLow);
    setrlimit(RLIMIT_NOFILE, &limit);
    for (int fd = ::dup(0); fd >= 0; fd = ::dup(0)) {
      taken_.push_back(fd);
    }
  }
  ~DescriptorExhaustion() { Release(taken_.size()); }
  DescriptorExhaustion(const DescriptorExhaustion&) = delete;
  DescriptorExhaustion& operator=(const DescriptorExhaustion&) = delete;

  void Release(std::size_t count) {
    for (; count > 0; --count) {
      ::close(taken_.back());
      taken_.pop_back();
    }
  }

 private:
  std::vector<int> taken_;
};

}  // namespace pathcleat
