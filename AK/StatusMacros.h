#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <utility>

// Returns from the enclosing function when the expression yields a status that is not OK.
#define CATKINLINK_TRY(expression)                                                                                                                             \
    do {                                                                                                                                                       \
        if (absl::Status tryStatus = (expression); !tryStatus.ok()) {                                                                                          \
            return tryStatus;                                                                                                                                  \
        }                                                                                                                                                      \
    } while (false)

#define CATKINLINK_CONCAT_INNER(left, right) left##right
#define CATKINLINK_CONCAT(left, right) CATKINLINK_CONCAT_INNER(left, right)

// Declares or assigns `target` from a StatusOr, or returns its status.
#define CATKINLINK_ASSIGN(target, expression) CATKINLINK_ASSIGN_INNER(CATKINLINK_CONCAT(tryResult, __LINE__), target, expression)
#define CATKINLINK_ASSIGN_INNER(result, target, expression)                                                                                                    \
    auto result = (expression);                                                                                                                                \
    if (!(result).ok()) {                                                                                                                                      \
        return (result).status();                                                                                                                              \
    }                                                                                                                                                          \
    target = std::move(*(result))
