/** Settings of a node, and validation of TOML documents in general. */
export type {Settings} from './settings_schema.js';

export {DocumentError} from './document_error.js';
export {
  formatTomlDocument,
  formatSettings,
  loadSettings,
  parseSettings,
} from './load_settings.js';
export {parseTomlDocument} from './parse_toml_document.js';
export {settingsSchema} from './settings_schema.js';
