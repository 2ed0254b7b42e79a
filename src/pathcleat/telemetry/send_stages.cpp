// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/send_stages.hpp"

namespace pathcleat {

const char* ToString(SendStage stage) {
  switch (stage) {
    case SendStage::kListBehind:
      return "list_behind";
    case SendStage::kChoiceToSend:
      return "choice_to_send";
    case SendStage::kSendToAnswer:
      return "send_to_answer";
  }
  return "";
}

}  // namespace pathcleat
