#include <LibSettings/SiteDocument.h>

namespace LibSettings
{

std::string_view siteDocumentSchema()
{
    return R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "type": "object",
  "additionalProperties": false,
  "required": ["site", "failure_domains", "accounts", "services", "upstreams"],
  "definitions": {
    "name": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
    "digest": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
    "weights": {
      "type": "object", "additionalProperties": false, "required": ["model", "adapter", "version", "root"],
      "properties": {
        "model": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"},
        "adapter": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"},
        "version": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$"},
        "root": {"$ref": "#/definitions/digest"}
      }
    }
  },
  "properties": {
    "site": {"$ref": "#/definitions/name"},
    "failure_domains": {
      "type": "object", "minProperties": 1, "maxProperties": 64,
      "additionalProperties": {
        "type": "object", "additionalProperties": false, "required": ["region"],
        "properties": {"region": {"type": "string", "minLength": 1, "maxLength": 63}, "in_service": {"type": "boolean"}}
      }
    },
    "accounts": {
      "type": "object", "maxProperties": 1000,
      "additionalProperties": {
        "type": "object", "additionalProperties": false, "required": ["key_sha256"],
        "properties": {
          "key_sha256": {"$ref": "#/definitions/digest"},
          "weight": {"type": "integer", "minimum": 1, "maximum": 1000},
          "priority": {"type": "integer", "minimum": 0, "maximum": 9}
        }
      }
    },
    "services": {
      "type": "object", "maxProperties": 256,
      "additionalProperties": {
        "type": "object", "additionalProperties": false, "required": ["kind"],
        "properties": {
          "kind": {"enum": ["engine", "plain"]},
          "target": {"$ref": "#/definitions/weights"},
          "previous": {"$ref": "#/definitions/weights"},
          "rollout": {
            "type": "object", "additionalProperties": false,
            "properties": {
              "wave_share": {"type": "number", "minimum": 0.001, "maximum": 1},
              "max_error_share": {"type": "number", "minimum": 0, "maximum": 1},
              "paused": {"type": "boolean"}
            }
          },
          "routes": {
            "type": "array", "maxItems": 64,
            "items": {
              "type": "object", "additionalProperties": false, "required": ["method", "path", "repeatable"],
              "properties": {
                "method": {"enum": ["GET", "POST", "PUT", "DELETE"]},
                "path": {"type": "string", "pattern": "^/[A-Za-z0-9/_.-]{0,255}$"},
                "repeatable": {"type": "boolean"}
              }
            }
          }
        }
      }
    },
    "upstreams": {
      "type": "object", "maxProperties": 5000,
      "additionalProperties": {
        "type": "object", "additionalProperties": false, "required": ["service", "failure_domain"],
        "properties": {"service": {"type": "string"}, "failure_domain": {"type": "string"}, "in_service": {"type": "boolean"}}
      }
    },
    "settled_restrictions": {"type": "array", "maxItems": 256, "items": {"type": "string", "maxLength": 64}}
  }
})json";
}

} // namespace LibSettings
