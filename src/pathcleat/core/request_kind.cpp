// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/request_kind.hpp"

namespace pathcleat {

const char* ToString(Priority priority) {
  switch (priority) {
    case Priority::kSubmission:
      return "submission";
    case Priority::kLookup:
      return "lookup";
    case Priority::kDownload:
      return "download";
  }
  return "lookup";
}

}  // namespace pathcleat
