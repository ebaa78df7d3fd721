// Roarr is silent unless this variable is set when it is first imported; the
// level of the settings decides what is written.
process.env['ROARR_LOG'] = 'true';
