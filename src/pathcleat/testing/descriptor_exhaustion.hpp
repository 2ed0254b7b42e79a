// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace pathcleat {

/// @brief Lowers this process's limit of file descriptors to at most 256 and
/// opens descriptors until none is left. Release() and the destructor close
/// them again; the limit stays lowered.
class DescriptorExhaustion {
 public:
  DescriptorExhaustion() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    constexpr rlim_t kMaxDescriptors = 256;
    limit.rlim_cur = std::min(limit.rlim_cur, kMaxDescriptors);
    setrlimit(RLIMIT_NOFILE, &limit);
    for (int fd = ::dup(0); fd >= 0; fd = ::dup(0)) {
      descriptors_.push_back(fd);
    }
  }
  ~DescriptorExhaustion() { Release(descriptors_.size()); }
  DescriptorExhaustion(const DescriptorExhaustion&) = delete;
  DescriptorExhaustion& operator=(const DescriptorExhaustion&) = delete;

  void Release(std::size_t count) {
    for (; count > 0; --count) {
      ::close(descriptors_.back());
      descriptors_.pop_back();
    }
  }

 private:
  std::vector<int> descriptors_;
};

}  // namespace pathcleat
