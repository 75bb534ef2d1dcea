#include "balsampoint/config/problem.hpp"

namespace balsampoint::config {

std::string
ToString(const Problem& aProblem)
{
  std::string text = aProblem.file;
  if (aProblem.line > 0) {
    text += (text.empty() ? "line " : ":") + std::to_string(aProblem.line);
  }
  if (!text.empty()) {
    text += ": ";
  }
  if (!aProblem.field.empty()) {
    text += aProblem.field + ": ";
  }
  return text + aProblem.message;
}

} // namespace balsampoint::config
